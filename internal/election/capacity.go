package election

// Capacity is what a host can give to the cell.
type Capacity struct {
	// Processor is in cores, and Link in Mbit/s; 0 is unknown.
	Processor float64
	Link      float64
}

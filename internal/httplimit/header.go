package httplimit

// headerEnd finds the end of a request header, which is its first empty line, in the bytes
// that arrive. Like net/http, it takes a line feed alone as the end of a line.
type headerEnd struct {
	// inLine is set if the current line has a character.
	inLine bool
}

// find returns how many of the bytes belong to the header, and whether it ends in them.
func (h *headerEnd) find(data []byte) (int, bool) {
	for i, b := range data {
		switch {
		case b == '\n' && !h.inLine:
			return i + 1, true
		case b == '\n':
			h.inLine = false
		case b != '\r':
			h.inLine = true
		}
	}
	return len(data), false
}

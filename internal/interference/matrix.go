package interference

import "math"

// square is a square matrix, of which the first rows and columns are used.
type square [maxNeighbours][maxNeighbours]float64

// invert replaces the first n rows and columns of a symmetric positive definite matrix by
// its inverse, by its Cholesky factor. It returns false if the matrix is not positive
// definite; its content is then undefined.
func (m *square) invert(n int) bool {
	// The lower half becomes the factor.
	for i := range n {
		row := &m[i]
		for j := range i + 1 {
			sum := row[j]
			for k := range j {
				sum -= row[k] * m[j][k]
			}
			if i != j {
				row[j] = sum / m[j][j]
				continue
			}
			if !(sum > 0) || math.IsInf(sum, 0) {
				return false
			}
			row[i] = math.Sqrt(sum)
		}
	}
	// It then becomes the inverse of the factor, column by column.
	for j := range n {
		m[j][j] = 1 / m[j][j]
		for i := j + 1; i < n; i++ {
			sum := 0.0
			for k := j; k < i; k++ {
				sum -= m[i][k] * m[k][j]
			}
			m[i][j] = sum / m[i][i]
		}
	}
	// The inverse is the product of the transposed inverse factor with itself. An element
	// needs only those of later rows, and of its own row from its column on.
	for i := range n {
		for j := range i + 1 {
			sum := 0.0
			for k := i; k < n; k++ {
				sum += m[k][i] * m[k][j]
			}
			m[i][j] = sum
		}
	}
	for i := range n {
		for j := range i {
			m[j][i] = m[i][j]
		}
	}
	return true
}

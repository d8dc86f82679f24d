package interference

import "math"

// invert returns the inverse of a symmetric positive definite matrix, by its Cholesky
// factor. It returns false if the matrix is not positive definite.
func invert(matrix [][]float64) ([][]float64, bool) {
	n := len(matrix)
	factor := make([][]float64, n)
	for i := range n {
		factor[i] = make([]float64, n)
		for j := range i + 1 {
			sum := matrix[i][j]
			for k := range j {
				sum -= factor[i][k] * factor[j][k]
			}
			if i != j {
				factor[i][j] = sum / factor[j][j]
				continue
			}
			if !(sum > 0) || math.IsInf(sum, 0) {
				return nil, false
			}
			factor[i][i] = math.Sqrt(sum)
		}
	}
	inverse := make([][]float64, n)
	for column := range n {
		inverse[column] = solveFactored(factor, column)
	}
	return inverse, true
}

// solveFactored returns a column of the inverse, which is also its row.
func solveFactored(factor [][]float64, column int) []float64 {
	n := len(factor)
	x := make([]float64, n)
	x[column] = 1
	for i := range n {
		for k := range i {
			x[i] -= factor[i][k] * x[k]
		}
		x[i] /= factor[i][i]
	}
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			x[i] -= factor[k][i] * x[k]
		}
		x[i] /= factor[i][i]
	}
	return x
}

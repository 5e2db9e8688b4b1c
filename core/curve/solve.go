package curve

import (
	"math"
	"slices"
)

// dot returns the scalar product of two vectors.
func dot(a, b [numTerms]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// add adds a sample to normal equations.
func add(m *[numTerms][numTerms + 1]float64, x [numTerms]float64, y, weight float64) {
	for i := range numTerms {
		for j := range numTerms {
			m[i][j] += weight * x[i] * x[j]
		}
		m[i][numTerms] += weight * x[i] * y
	}
}

// solve solves normal equations for coefficients of at least 0, by cyclic coordinate descent.
func solve(m [numTerms][numTerms + 1]float64) [numTerms]float64 {
	const passes = 200
	var terms [numTerms]float64
	for range passes {
		moved := 0.0
		for i := range numTerms {
			rest := m[i][numTerms]
			for j := range numTerms {
				if j != i {
					rest -= m[i][j] * terms[j]
				}
			}
			value := max(0, rest/m[i][i])
			moved = max(moved, math.Abs(value-terms[i])/max(value, 1e-12))
			terms[i] = value
		}
		if moved < 1e-6 {
			break
		}
	}
	return terms
}

// median returns the median of a list that is not empty, and sorts it.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// Package defaults fills in settings that were left at zero.
package defaults

// Set gives field a value unless it is positive.
func Set[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

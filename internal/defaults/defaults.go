// Package defaults sets default values of options that are not set.
package defaults

// Set sets field to value unless field is positive.
func Set[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

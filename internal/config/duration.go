package config

import "time"

// Milliseconds converts a setting in milliseconds, times a scale, to a duration.
func Milliseconds(value, scale float64) time.Duration {
	return time.Duration(value * scale * float64(time.Millisecond))
}

// Seconds converts a setting in seconds, times a scale, to a duration.
func Seconds(value, scale float64) time.Duration {
	return Milliseconds(value*1000, scale)
}

package upstream

import (
	"testing"
	"time"
)

func TestKeepAliveTimeout(t *testing.T) {
	for _, c := range []struct {
		header string
		want   time.Duration
		ok     bool
	}{
		{"timeout=5", 4 * time.Second, true},
		{"max=100, Timeout=10", 8 * time.Second, true},
		{"timeout=5, timeout=10", 8 * time.Second, true},
		{"timeout=0", 0, false},
		{"timeout=-5", 0, false},
		{"timeout=soon", 0, false},
		{"max=100", 0, false},
		{"timeout", 0, false},
	} {
		if got, ok := keepAliveTimeout(c.header); got != c.want || ok != c.ok {
			t.Errorf("%q: %v, %v, want %v, %v", c.header, got, ok, c.want, c.ok)
		}
	}
}

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		header           string
		running, waiting int
		ok               bool
	}{
		{"2,3,4", 2, 3, true},
		{" 2 , 3 ,4", 2, 3, true},
		{"2,3", 0, 0, false},
		{"2,3,4,5", 0, 0, false},
		{"2,x,4", 0, 0, false},
		{"", 0, 0, false},
	} {
		running, waiting, ok := parseLoad(c.header)
		if ok != c.ok || ok && (running != c.running || waiting != c.waiting) {
			t.Errorf("%q: %d, %d, %v", c.header, running, waiting, ok)
		}
	}
}

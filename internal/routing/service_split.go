package routing

import "swiftswitch/internal/config"

// serviceSplit divides [0, 1) into one interval for each service, as long as
// the service's weight among all.
type serviceSplit []interval

// interval ends below end; it begins where the one before it ends.
type interval struct {
	service string
	end     float64
}

// newServiceSplit returns the split of a route; services of weight 0 are left
// out. A route to a single service gives all to it.
func newServiceSplit(c *config.Route) serviceSplit {
	if c.Service != "" {
		return serviceSplit{{c.Service, 1}}
	}
	var split serviceSplit
	sum := 0.0
	for _, s := range c.TrafficSplit {
		if s.Weight > 0 {
			sum += s.Weight
			split = append(split, interval{s.Service, sum})
		}
	}
	for i := range split {
		split[i].end /= sum
	}
	return split
}

func (s serviceSplit) contains(service string) bool {
	for _, i := range s {
		if i.service == service {
			return true
		}
	}
	return false
}

// pick returns the service whose interval holds a point, or "".
func (s serviceSplit) pick(point float64) string {
	for _, i := range s {
		if point < i.end {
			return i.service
		}
	}
	if n := len(s); n > 0 {
		// A rounding error may leave the last end below 1.
		return s[n-1].service
	}
	return ""
}

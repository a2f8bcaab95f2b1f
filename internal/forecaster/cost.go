package forecaster

import "math"

// maxLoad is the load up to which the waiting time grows as in a queue that is in
// balance. Above it, the waiting time grows in proportion to the load.
const maxLoad = 0.95

// WaitFactor returns the mean waiting time of a queue with a load and several slots in
// service times, by Sakasegawa's approximation (1977).
func WaitFactor(load float64, slots int) float64 {
	k := float64(max(1, slots))
	bounded := min(max(0, load), maxLoad)
	factor := math.Pow(bounded, math.Sqrt(2*(k+1))-1) / (k * (1 - bounded))
	if load > maxLoad {
		factor *= load / maxLoad
	}
	return factor
}

package reporter

import (
	"time"
)

// windowPair is a pair of alert windows, with the burn rate that both must
// reach.
type windowPair struct {
	name      string
	short     time.Duration
	long      time.Duration
	threshold float64
}

// windowPairs are the usual multi-window burn rate alerts on a budget of 30
// days. A rate of 14.4 spends 2% of the budget in 1 h, and a rate of 6 spends 5%
// in 6 h. The short window stops an alert soon after a fault has passed.
var windowPairs = []windowPair{
	{name: "fast", short: 5 * time.Minute, long: time.Hour, threshold: 14.4},
	{name: "slow", short: 30 * time.Minute, long: 6 * time.Hour, threshold: 6},
}

func newAlert(pair windowPair, o Options, buckets []bucket, hours []Hour, permille int64) Alert {
	a := Alert{
		Name: pair.name, Threshold: pair.threshold,
		Short: newWindow(pair.short, o.To, buckets, permille),
		Long:  newWindow(pair.long, o.To, buckets, permille),
		Above: periodsAbove(hours, int(pair.long/time.Hour), pair.threshold, permille),
	}
	a.Firing = a.Short.BurnRate >= pair.threshold && a.Long.BurnRate >= pair.threshold
	return a
}

func newWindow(length time.Duration, to time.Time, buckets []bucket, permille int64) Window {
	w := Window{Seconds: int64(length / time.Second)}
	from := to.Add(-length).Truncate(time.Minute)
	for _, b := range buckets {
		if !b.within(from, to) {
			continue
		}
		w.Counts.add(b.counts)
		w.Coarse = w.Coarse || b.start.Before(from)
	}
	w.BurnRate = round(burnRate(w.Counts, permille))
	return w
}

// newHours returns the counts of every hour in the report's time range, including
// hours without requests.
func newHours(o Options, buckets []bucket, permille int64) []Hour {
	first := o.From.UTC().Truncate(time.Hour)
	hours := []Hour{}
	for start := first; start.Before(o.To); start = start.Add(time.Hour) {
		hours = append(hours, Hour{Start: start})
	}
	for _, b := range buckets {
		if i := int(b.start.Sub(first) / time.Hour); i >= 0 && i < len(hours) {
			hours[i].Counts.add(b.counts)
		}
	}
	for i := range hours {
		hours[i].BurnRate = round(burnRate(hours[i].Counts, permille))
	}
	return hours
}

// periodsAbove returns the hours at whose end the burn rate of the last n hours
// was at or above the threshold. Consecutive hours are merged into one period.
func periodsAbove(hours []Hour, n int, threshold float64, permille int64) []Period {
	periods := []Period{}
	for i, h := range hours {
		var sum Counts
		for _, x := range hours[max(i-n+1, 0) : i+1] {
			sum.add(x.Counts)
		}
		if burnRate(sum, permille) < threshold {
			continue
		}
		end := h.Start.Add(time.Hour)
		if last := len(periods) - 1; last >= 0 && periods[last].To.Equal(h.Start) {
			periods[last].To = end
			continue
		}
		periods = append(periods, Period{From: h.Start, To: end})
	}
	return periods
}

// LastWeekend returns the latest weekend that started before now, from Friday
// 17:00 to Monday 09:00 in the location of now. It ends at now if that is
// earlier.
func LastWeekend(now time.Time) (from, to time.Time) {
	days := (int(now.Weekday()) - int(time.Friday) + 7) % 7
	from = time.Date(now.Year(), now.Month(), now.Day()-days, 17, 0, 0, 0, now.Location())
	if !from.Before(now) {
		from = time.Date(from.Year(), from.Month(), from.Day()-7, 17, 0, 0, 0, now.Location())
	}
	to = time.Date(from.Year(), from.Month(), from.Day()+3, 9, 0, 0, 0, now.Location())
	if to.After(now) {
		to = now
	}
	return from, to
}

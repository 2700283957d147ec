// Package errorbudget computes how fast each class consumes the error budget of its objective.
package errorbudget

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/bundle"
)

// bucketLength is the time resolution of the counts. They are kept for the retention period.
const (
	bucketLength = 10 * time.Second
	retention    = 6 * time.Hour
)

// WindowPair is a short and a long window. An alert is raised only if the burn rate is too high over both.
type WindowPair struct {
	Short, Long time.Duration
	// AlertRate is the minimum burn rate that raises an alert.
	AlertRate float64
}

// WindowPairs are the windows that are reported and alerted on, beginning with the pair of the highest AlertRate.
var WindowPairs = []WindowPair{
	{Short: 5 * time.Minute, Long: time.Hour, AlertRate: 14.4},
	{Short: 30 * time.Minute, Long: 6 * time.Hour, AlertRate: 6},
}

// budgetPeriod is the period for which an error budget is granted.
const budgetPeriod = 30 * 24 * time.Hour

// Count holds the number of all requests and of those that missed their objective.
type Count struct {
	Total  int64 `json:"total"`
	Missed int64 `json:"missed"`
}

// Add returns the sum of two counts.
func (ct Count) Add(o Count) Count {
	return Count{Total: ct.Total + o.Total, Missed: ct.Missed + o.Missed}
}

// Window is the count of one class over the time window of a length. Windows of several instances can be merged.
type Window struct {
	Class  string        `json:"class"`
	Length time.Duration `json:"length"`
	Count  Count         `json:"count"`
}

// Recorder counts requests per class and time bucket. It is safe for concurrent use.
type Recorder struct {
	now func() time.Time

	mu sync.Mutex
	// classes holds the counts per class name and bucket number.
	classes map[string]map[int64]Count
}

// New returns an empty recorder that uses the given clock.
func New(now func() time.Time) *Recorder {
	return &Recorder{now: now, classes: map[string]map[int64]Count{}}
}

// Add counts one request of a class, and whether it missed its objective.
func (rc *Recorder) Add(class string, missed bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	buckets := rc.classes[class]
	if buckets == nil {
		buckets = map[int64]Count{}
		rc.classes[class] = buckets
	}
	current := rc.now().UnixNano() / int64(bucketLength)
	if _, ok := buckets[current]; !ok {
		rc.removeExpired(buckets, current)
	}
	c := buckets[current]
	c.Total++
	if missed {
		c.Missed++
	}
	buckets[current] = c
}

func (rc *Recorder) removeExpired(buckets map[int64]Count, current int64) {
	for nr := range buckets {
		if nr < current-int64(retention/bucketLength) {
			delete(buckets, nr)
		}
	}
}

// Windows returns the counts of every class over every window of WindowPairs, sorted by class and length.
func (rc *Recorder) Windows() []Window {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	current := rc.now().UnixNano() / int64(bucketLength)
	var ws []Window
	for class, buckets := range rc.classes {
		for _, p := range WindowPairs {
			for _, length := range []time.Duration{p.Short, p.Long} {
				w := Window{Class: class, Length: length}
				for nr, c := range buckets {
					if nr > current-int64(length/bucketLength) {
						w.Count = w.Count.Add(c)
					}
				}
				ws = append(ws, w)
			}
		}
	}
	slices.SortFunc(ws, compareWindows)
	return ws
}

func compareWindows(a, b Window) int {
	if c := strings.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	return int(a.Length - b.Length)
}

// Merge sums the windows of several instances by class and length.
func Merge(all ...[]Window) []Window {
	sums := map[Window]Count{}
	for _, ws := range all {
		for _, w := range ws {
			key := Window{Class: w.Class, Length: w.Length}
			sums[key] = sums[key].Add(w.Count)
		}
	}
	var merged []Window
	for w, c := range sums {
		w.Count = c
		merged = append(merged, w)
	}
	slices.SortFunc(merged, compareWindows)
	return merged
}

// WindowRate is the burn rate of one class over one window.
type WindowRate struct {
	Window
	// Rate is 1 if the class consumes its error budget in exactly the period for which it is granted, which is 30 days.
	Rate float64 `json:"rate"`
}

// Alert is raised for a class whose burn rate is too high over both windows of a pair.
type Alert struct {
	Class string `json:"class"`
	// Rate is the lower of the burn rates over the two windows.
	Rate float64 `json:"rate"`
	// BudgetExhaustedIn is the time in which this rate consumes the budget of a whole period.
	BudgetExhaustedIn time.Duration `json:"ends_in"`
}

// Report returns the burn rate of each window and at most one alert per class, for the objectives of the classes.
func Report(ws []Window, classes []bundle.Class) ([]WindowRate, []Alert) {
	var rows []WindowRate
	var alerts []Alert
	for _, cl := range classes {
		rates := map[time.Duration]float64{}
		for _, w := range ws {
			if w.Class != cl.Name {
				continue
			}
			r := WindowRate{Window: w, Rate: burnRate(w.Count, cl.Objective.Share)}
			rates[w.Length] = r.Rate
			rows = append(rows, r)
		}
		for _, p := range WindowPairs {
			lower := min(rates[p.Short], rates[p.Long])
			if lower >= p.AlertRate {
				exhaustedIn := time.Duration(float64(budgetPeriod) / lower)
				alerts = append(alerts, Alert{Class: cl.Name, Rate: lower, BudgetExhaustedIn: exhaustedIn})
				break
			}
		}
	}
	return rows, alerts
}

func burnRate(c Count, share float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Missed) / float64(c.Total) / (1 - share)
}

// Package burn reports how fast each class spends the errors that its objective allows.
package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/bundle"
)

// bucket is the resolution of the record, and kept how far back it goes.
const (
	bucketLength = 10 * time.Second
	retention    = 6 * time.Hour
)

// Pair is two windows that must both burn before an alert is raised.
type WindowPair struct {
	Short, Long time.Duration
	// Rate is the burn rate from which the pair alerts.
	AlertRate float64
}

// Pairs are the windows reported on.
var WindowPairs = []WindowPair{
	{Short: 5 * time.Minute, Long: time.Hour, AlertRate: 14.4},
	{Short: 30 * time.Minute, Long: 6 * time.Hour, AlertRate: 6},
}

// budgetPeriod is the time over which an objective's errors are allowed.
const budgetPeriod = 30 * 24 * time.Hour

// Count is how many requests there were and how many missed their objective.
type Count struct {
	Total  int64 `json:"total"`
	Missed int64 `json:"missed"`
}

// Add returns the sum.
func (ct Count) Add(o Count) Count {
	return Count{Total: ct.Total + o.Total, Missed: ct.Missed + o.Missed}
}

// Window is the count of one class over one window, mergeable over instances.
type Window struct {
	Class  string        `json:"class"`
	Length time.Duration `json:"length"`
	Count  Count         `json:"count"`
}

// Recorder counts requests. It is safe for use by any goroutine.
type Recorder struct {
	now func() time.Time

	mu      sync.Mutex
	classes map[string]map[int64]Count
}

// New returns an empty recorder.
func New(now func() time.Time) *Recorder {
	return &Recorder{now: now, classes: map[string]map[int64]Count{}}
}

// Add counts one request of a class.
func (rc *Recorder) Add(class string, missed bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	buckets := rc.classes[class]
	if buckets == nil {
		buckets = map[int64]Count{}
		rc.classes[class] = buckets
	}
	at := rc.now().UnixNano() / int64(bucketLength)
	if _, ok := buckets[at]; !ok {
		rc.removeExpired(buckets, at)
	}
	c := buckets[at]
	c.Total++
	if missed {
		c.Missed++
	}
	buckets[at] = c
}

func (rc *Recorder) removeExpired(buckets map[int64]Count, at int64) {
	for old := range buckets {
		if old < at-int64(retention/bucketLength) {
			delete(buckets, old)
		}
	}
}

// Windows returns the counts of every class over every window.
func (rc *Recorder) Windows() []Window {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	at := rc.now().UnixNano() / int64(bucketLength)
	var ws []Window
	for class, buckets := range rc.classes {
		for _, p := range WindowPairs {
			for _, length := range []time.Duration{p.Short, p.Long} {
				w := Window{Class: class, Length: length}
				for b, c := range buckets {
					if b > at-int64(length/bucketLength) {
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

// Merge adds up the windows of several instances.
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

// Row is the burn of one class over one window.
type WindowRate struct {
	Window
	// Rate is 1 when the class spends its budget exactly over the budget's period.
	Rate float64 `json:"rate"`
}

// Alert says that a class burns over both windows of a pair.
type Alert struct {
	Class string `json:"class"`
	// Rate is the lower of the two windows' rates.
	Rate float64 `json:"rate"`
	// EndsIn is when the budget of a whole period would be spent at this rate.
	BudgetExhaustedIn time.Duration `json:"ends_in"`
}

// Report computes burn rates and alerts for the objectives of a bundle.
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
			low := min(rates[p.Short], rates[p.Long])
			if low >= p.AlertRate {
				ends := time.Duration(float64(budgetPeriod) / low)
				alerts = append(alerts, Alert{Class: cl.Name, Rate: low, BudgetExhaustedIn: ends})
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

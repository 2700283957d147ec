package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/serve"
)

// Result is what became of one arrival.
type Result struct {
	Arrival
	// FirstToken and Total count from the intended start; zero when there was none.
	FirstToken time.Duration `json:"first_token"`
	Total      time.Duration `json:"total"`
	// Tokens got and whether the answer is whole and right.
	ReceivedTokens int  `json:"got"`
	Complete       bool `json:"whole"`
	Correct        bool `json:"right"`
	// Code and Outcome are set for failures.
	Code    string `json:"code,omitempty"`
	Outcome string `json:"outcome,omitempty"`

	text string
}

// Target is where and how load is sent.
type Options struct {
	// URLs are the callers' addresses of instances, taken in turn.
	URLs []string
	// Pick, when set, is asked for an address instead, as a balancer is.
	PickURL func(index int) string
	// Key is the bearer key; Model is asked for.
	Key, Model string
	// Seed gives the prompts.
	Seed uint64
	// Progress is told how many are done, now and then; nil tells nobody.
	Progress func(done, all int)
}

func (op Options) nextURL(index int) string {
	if op.PickURL != nil {
		return op.PickURL(index)
	}
	return op.URLs[index%len(op.URLs)]
}

const progressInterval = 2 * time.Second

// Run sends the arrivals, each at its intended time whatever became of the others, and waits for all answers.
func Run(ctx context.Context, t Options, arrivals []Arrival) []Result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	results := make([]Result, len(arrivals))
	bodies := make([][]byte, len(arrivals))
	prompts := make([]string, len(arrivals))
	for i, a := range arrivals {
		prompts[i] = Prompt(t.Seed, a)
		bodies[i], _ = encodeRequest(t.Model, prompts[i], a.OutputTokens) // these fields always encode
	}
	var wg sync.WaitGroup
	var done sync.Map
	start := time.Now()
	for i, a := range arrivals {
		wg.Go(func() {
			if !sleepUntil(ctx, start.Add(a.At)) {
				results[i] = Result{Arrival: a, Code: "not_sent"}
				return
			}
			results[i] = send(ctx, client, t, a, t.nextURL(a.Index), bodies[i], start)
			results[i].checkAnswer(prompts[i])
			done.Store(i, true)
		})
	}
	finished := make(chan struct{})
	go func() { wg.Wait(); close(finished) }()
	reportProgress(t, &done, len(arrivals), finished)
	return results
}

func reportProgress(t Options, done *sync.Map, all int, finished <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-finished:
			return
		case <-tick.C:
			n := 0
			done.Range(func(any, any) bool { n++; return true })
			if t.Progress != nil {
				t.Progress(n, all)
			}
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func send(ctx context.Context, client *http.Client, t Options, a Arrival, url string, body []byte, start time.Time) Result {
	res := Result{Arrival: a}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		res.Code = err.Error()
		return res
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	req.Header.Set(serve.HeaderClass, a.Class)
	resp, err := client.Do(req)
	if err != nil {
		res.Code = "connection"
		return res
	}
	defer resp.Body.Close()
	res.readAnswer(bufio.NewScanner(resp.Body), resp.StatusCode, start.Add(a.At))
	return res
}

func (rs *Result) readAnswer(sc *bufio.Scanner, status int, intended time.Time) {
	var text strings.Builder
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok && status == http.StatusOK {
			continue
		}
		if data == "[DONE]" {
			rs.Complete = true
			break
		}
		var ev event
		if !ok {
			data = sc.Text()
		}
		if json.Unmarshal([]byte(data), &ev) != nil {
			continue
		}
		if ev.Error != nil {
			rs.Code, rs.Outcome = ev.Error.Code, ev.Error.Outcome
			break
		}
		if len(ev.Choices) > 0 {
			if rs.ReceivedTokens == 0 {
				rs.FirstToken = time.Since(intended)
			}
			rs.ReceivedTokens++
			text.WriteString(ev.Choices[0].Text)
		}
	}
	rs.Total = time.Since(intended)
	if !rs.Complete && rs.Code == "" {
		rs.Code = "cut_off"
	}
	rs.text = text.String()
}

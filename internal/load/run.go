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

	"github.com/silvermount/silvermount/internal/callerapi"
)

// Result is the outcome of one arrival.
type Result struct {
	Arrival
	// FirstToken and Total are the times to the first token and to the end of the answer, measured from the scheduled time.
	// FirstToken is zero if no token arrived, and Total if there was no answer.
	FirstToken time.Duration `json:"first_token"`
	Total      time.Duration `json:"total"`
	// ReceivedTokens is the number of tokens received. Complete is set if the answer ended regularly, and Correct if it also has
	// the expected text.
	ReceivedTokens int  `json:"got"`
	Complete       bool `json:"whole"`
	Correct        bool `json:"right"`
	// Code and Outcome are set if the request failed.
	Code    string `json:"code,omitempty"`
	Outcome string `json:"outcome,omitempty"`

	text string
}

// Options say where and how requests are sent.
type Options struct {
	// URLs are the base URLs for callers of the instances. They are used round robin.
	URLs []string
	// PickURL, if set, selects the base URL for a request instead, as a load balancer does.
	PickURL func(index int) string
	// Key is the caller's bearer key, and Model the requested model.
	Key, Model string
	// Seed determines the texts of the prompts.
	Seed uint64
	// Progress, if set, is called every two seconds with the number of answered requests and the number of all requests.
	Progress func(done, total int)
}

func (op Options) nextURL(index int) string {
	if op.PickURL != nil {
		return op.PickURL(index)
	}
	return op.URLs[index%len(op.URLs)]
}

const progressInterval = 2 * time.Second

// Run sends each arrival at its scheduled time, whether or not earlier ones have been answered, and waits for all answers.
func Run(ctx context.Context, op Options, arrivals []Arrival) []Result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	results := make([]Result, len(arrivals))
	bodies := make([][]byte, len(arrivals))
	prompts := make([]string, len(arrivals))
	for i, a := range arrivals {
		prompts[i] = Prompt(op.Seed, a)
		bodies[i], _ = encodeRequest(op.Model, prompts[i], a.OutputTokens) // strings, integers and booleans always encode
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
			results[i] = send(ctx, client, op, a, op.nextURL(a.Index), bodies[i], start)
			results[i].checkAnswer(prompts[i])
			done.Store(i, true)
		})
	}
	finished := make(chan struct{})
	go func() { wg.Wait(); close(finished) }()
	reportProgress(op, &done, len(arrivals), finished)
	return results
}

func reportProgress(op Options, done *sync.Map, total int, finished <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-finished:
			return
		case <-tick.C:
			n := 0
			done.Range(func(any, any) bool { n++; return true })
			if op.Progress != nil {
				op.Progress(n, total)
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

func send(ctx context.Context, client *http.Client, op Options, a Arrival, url string, body []byte, start time.Time) Result {
	res := Result{Arrival: a}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		res.Code = err.Error()
		return res
	}
	req.Header.Set("Authorization", "Bearer "+op.Key)
	req.Header.Set(callerapi.HeaderClass, a.Class)
	resp, err := client.Do(req)
	if err != nil {
		res.Code = "connection"
		return res
	}
	defer resp.Body.Close()
	res.readAnswer(bufio.NewScanner(resp.Body), resp.StatusCode, start.Add(a.At))
	return res
}

func (rs *Result) readAnswer(sc *bufio.Scanner, status int, scheduled time.Time) {
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
				rs.FirstToken = time.Since(scheduled)
			}
			rs.ReceivedTokens++
			text.WriteString(ev.Choices[0].Text)
		}
	}
	rs.Total = time.Since(scheduled)
	if !rs.Complete && rs.Code == "" {
		rs.Code = "cut_off"
	}
	rs.text = text.String()
}

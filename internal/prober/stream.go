package prober

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// eventStream reads the server-sent events of a chat completion.
type eventStream struct {
	lastTokenAt time.Time
	text        strings.Builder
	res         *Result
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Output int `json:"completion_tokens"`
		Total  int `json:"total_tokens"`
	} `json:"usage"`
	Error *apiError `json:"error"`
}

// read reads events until [DONE] or an error event. The outcome of a stream without
// either is OutcomeBroken.
func (s *eventStream) read(r io.Reader) {
	s.res.Outcome = OutcomeBroken
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.res.Outcome = OutcomeComplete
			return
		}
		var e event
		if json.Unmarshal(data, &e) != nil {
			return
		}
		if e.Error != nil {
			s.res.setError(e.Error)
			return
		}
		s.addEvent(e)
	}
}

func (s *eventStream) addEvent(e event) {
	if e.Usage != nil {
		s.res.OutputTokens, s.res.TotalTokens = e.Usage.Output, e.Usage.Total
	}
	if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return
	}
	s.text.WriteString(e.Choices[0].Delta.Content)
	now := time.Now()
	if s.res.TimeToFirstToken == 0 {
		s.res.TimeToFirstToken = now.Sub(s.res.Start)
	} else {
		s.res.TokenGaps = append(s.res.TokenGaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

// readErrorResponse reads an error response.
func readErrorResponse(r io.Reader, res *Result) {
	res.Outcome = OutcomeBroken
	var body struct {
		Error *apiError `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(r, maxLineBytes)).Decode(&body); err == nil && body.Error != nil {
		res.setError(body.Error)
	}
}

// readServiceResponse reads the response of a service.
func readServiceResponse(r io.Reader, res *Result) {
	res.Outcome = OutcomeComplete
	if _, err := io.Copy(io.Discard, r); err != nil {
		res.Outcome = OutcomeBroken
	}
}

func (r *Result) setError(f *apiError) {
	switch f.Type {
	case OutcomeNotRun, OutcomeUnknown, OutcomeInterrupted:
		r.Outcome = f.Type
	default:
		r.Outcome = OutcomeBroken
	}
	r.Reason = f.Reason
}

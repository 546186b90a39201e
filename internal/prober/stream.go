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

// stream reads the server-sent events of a chat completion.
type stream struct {
	last time.Time
	text strings.Builder
	res  *Result
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
	Error *failure `json:"error"`
}

// read takes events until [DONE] or an error event. A stream without either is broken.
func (s *stream) read(r io.Reader) {
	s.res.Outcome = Broken
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.res.Outcome = Whole
			return
		}
		var e event
		if json.Unmarshal(data, &e) != nil {
			return
		}
		if e.Error != nil {
			s.res.fail(e.Error)
			return
		}
		s.take(e)
	}
}

func (s *stream) take(e event) {
	if e.Usage != nil {
		s.res.Output, s.res.Tokens = e.Usage.Output, e.Usage.Total
	}
	if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return
	}
	s.text.WriteString(e.Choices[0].Delta.Content)
	now := time.Now()
	if s.res.First == 0 {
		s.res.First = now.Sub(s.res.Start)
	} else {
		s.res.Gaps = append(s.res.Gaps, now.Sub(s.last))
	}
	s.last = now
}

// refused reads an error answer.
func refused(r io.Reader, res *Result) {
	res.Outcome = Broken
	var body struct {
		Error *failure `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(r, maxLineBytes)).Decode(&body); err == nil && body.Error != nil {
		res.fail(body.Error)
	}
}

// received reads the answer of a service.
func received(r io.Reader, res *Result) {
	res.Outcome = Whole
	if _, err := io.Copy(io.Discard, r); err != nil {
		res.Outcome = Broken
	}
}

func (r *Result) fail(f *failure) {
	switch f.Type {
	case NotRun, Unknown, Interrupted:
		r.Outcome = f.Type
	default:
		r.Outcome = Broken
	}
	r.Reason = f.Reason
}

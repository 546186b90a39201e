package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"daisylane/internal/admitter"
)

const (
	requestHeader    = "X-Request-Id"
	streamsPath      = "/v1/streams/"
	cancelTimeout    = 2 * time.Second
	cancelRetryWait  = 100 * time.Millisecond
	maxEngineResumes = 3
)

// resumeEngineStream requests a stream of the engine again from a byte offset.
func (s *Side) resumeEngineStream(ctx context.Context, id string, offset int64) (io.ReadCloser, error) {
	path := streamsPath + url.PathEscape(id) + "?offset=" + strconv.FormatInt(offset, 10)
	res, err := s.callEngine(ctx, http.MethodGet, path)
	if err != nil {
		return nil, fmt.Errorf("resume stream of the engine: %w", err)
	}
	return res.Body, nil
}

// cancelEngineRun cancels a run at the engine and returns the usage that the engine
// reports. Closing the connection is not enough: the engine would continue the run.
func (s *Side) cancelEngineRun(id string) (admitter.Usage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	res, err := s.callEngine(ctx, http.MethodDelete, streamsPath+url.PathEscape(id))
	if err != nil {
		// The engine may not have recorded the run yet.
		time.Sleep(cancelRetryWait)
		res, err = s.callEngine(ctx, http.MethodDelete, streamsPath+url.PathEscape(id))
	}
	if err != nil {
		return admitter.Usage{}, fmt.Errorf("cancel engine run: %w", err)
	}
	defer res.Body.Close()
	var record struct {
		Usage usage `json:"usage"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxEngineResponseBytes)).Decode(&record); err != nil {
		return admitter.Usage{}, fmt.Errorf("cancel engine run: decode response: %w", err)
	}
	return record.Usage.tokens(), nil
}

func (s *Side) callEngine(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.targetURL(path), nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	res, err := s.pooledClient.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, fmt.Errorf("engine answers with status %d", res.StatusCode)
	}
	return res, nil
}

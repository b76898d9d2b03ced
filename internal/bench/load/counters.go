package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// counters are the counters of an entry host that scenarios read.
type counters struct {
	Door struct {
		Requests int64 `json:"requests"`
		Attempts int64 `json:"attempts"`
		Retries  int64 `json:"retries"`
	} `json:"door"`
	Memory struct {
		Sys          uint64 `json:"Sys"` // obtained from the operating system
		HeapReleased uint64 `json:"HeapReleased"`
		HeapInuse    uint64 `json:"HeapInuse"`
		StackInuse   uint64 `json:"StackInuse"`
	} `json:"memstats"`
}

// memoryUsed returns the memory that the process holds, in bytes.
func (v *counters) memoryUsed() int64 { return int64(v.Memory.Sys - v.Memory.HeapReleased) }

func readCounters(ctx context.Context, server, operatorKey string) (*counters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/debug/vars", http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("counters of %s: %s", server, resp.Status)
	}
	v := new(counters)
	return v, json.NewDecoder(resp.Body).Decode(v)
}

// sumCounters returns the sums of the request, attempt and retry counters of all
// servers.
func sumCounters(ctx context.Context, o Options) (requests, attempts, retries int64, err error) {
	for _, s := range o.Servers {
		v, err := readCounters(ctx, s, o.OperatorKey)
		if err != nil {
			return 0, 0, 0, err
		}
		requests += v.Door.Requests
		attempts += v.Door.Attempts
		retries += v.Door.Retries
	}
	return requests, attempts, retries, nil
}

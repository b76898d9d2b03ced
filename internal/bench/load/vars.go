package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// vars is what a scenario reads of an entry host's counters.
type vars struct {
	Door struct {
		Requests int64 `json:"requests"`
		Attempts int64 `json:"attempts"`
		Retries  int64 `json:"retries"`
	} `json:"door"`
	Memory struct {
		Sys          uint64 `json:"Sys"` // obtained from the system
		HeapReleased uint64 `json:"HeapReleased"`
		HeapInuse    uint64 `json:"HeapInuse"`
		StackInuse   uint64 `json:"StackInuse"`
	} `json:"memstats"`
}

// used is the memory that the process holds, in bytes.
func (v *vars) used() int64 { return int64(v.Memory.Sys - v.Memory.HeapReleased) }

func readVars(ctx context.Context, server, operatorKey string) (*vars, error) {
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
	v := new(vars)
	return v, json.NewDecoder(resp.Body).Decode(v)
}

// sumVars adds up the counters of all servers that scenarios compare.
func sumVars(ctx context.Context, o Options) (requests, attempts, retries int64, err error) {
	for _, s := range o.Servers {
		v, err := readVars(ctx, s, o.OperatorKey)
		if err != nil {
			return 0, 0, 0, err
		}
		requests += v.Door.Requests
		attempts += v.Door.Attempts
		retries += v.Door.Retries
	}
	return requests, attempts, retries, nil
}

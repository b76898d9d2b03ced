// Package cell holds the stand-ins of the review: the platform's store, workers, clients
// and a proxy, and the start and stop of the entry processes. They speak the protocol of the
// users' pages over loopback.
package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/platform/platformtest"
)

// Limits of the platform's store: `row-bytes` of the settings and the 100 entries of
// PROTOCOL.md.
const (
	rowBytes     = 65536
	maxTxEntries = 100
	maxTxBody    = 2 << 20
	txTime       = 5 * time.Millisecond // `tx-ms`
)

// Store is the platform's store.
type Store struct {
	Rows   *rows.Store
	record *Record
	rpc    http.Handler
}

func newStore(record *Record) *Store {
	r := rows.New()
	return &Store{Rows: r, record: record, rpc: platformtest.StoreHandler(r)}
}

// ServeHTTP checks the limits of a transaction and passes all calls on to the project's own
// stand-in of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/rows-tx" {
		s.rpc.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if problem := checkTx(body); problem != "" {
		s.record.Add("store: transaction refused with 400: %s", problem)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusBadRequest)
		_, _ = fmt.Fprintf(w, `{"reason":%q}`, problem) // lost if the caller is gone
		return
	}
	time.Sleep(txTime)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.rpc.ServeHTTP(w, r)
}

// checkTx returns what is wrong with a transaction, or "".
func checkTx(body []byte) string {
	type name struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	var tx struct {
		Expected []name `json:"expected-rev"`
		Puts     []name `json:"puts"`
		Remove   []name `json:"remove"`
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		return err.Error()
	}
	all := append(append(tx.Expected, tx.Puts...), tx.Remove...)
	if len(all) > maxTxEntries {
		return fmt.Sprintf("%d entries, the limit is %d", len(all), maxTxEntries)
	}
	for _, n := range all {
		if len(n.Value) > rowBytes {
			return fmt.Sprintf("row %s/%s/%s has %d bytes, the limit is %d", n.Table, n.Part, n.Key, len(n.Value), rowBytes)
		}
		if n.Part != all[0].Part {
			return fmt.Sprintf("entries of the parts %q and %q", n.Part, all[0].Part)
		}
	}
	return ""
}

// put writes a row as an operator or a worker does.
func (s *Store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.Rows.Commit(context.Background(), platform.Tx{Puts: []platform.PartitionRow{{Table: table, Key: key, Value: data}}})
	return err
}

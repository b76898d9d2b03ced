package entry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/linkmeter"
	"cuminloft/internal/platform"
)

// Guards against rows that are left out without a trace.
func TestMetricsCountRejectedRows(t *testing.T) {
	is := is.New(t)
	rejected := platform.NewRejectedRows(logr.Discard())
	m := newMetrics(nil, linkmeter.New(), rejected)
	rejected.Add(platform.PartitionRow{Table: "rows", Key: "odd"}, errors.New("no address"))
	answer := httptest.NewRecorder()
	m.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(answer.Body.String(), `cuminloft_rejected_rows_total{table="rows"} 1`))
}

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/coordinator"
	"cuminloft/internal/dispatch"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/workload"
)

// Guards against errors that do not say what is wrong, and against an answer from a host
// that does not coordinate.
func TestExplainCall(t *testing.T) {
	notCoordinator := coordinator.New(coordinator.Coordinator{}).Explain
	answers := func(_ context.Context, j *workload.Job) (dispatch.JobExplanation, error) {
		return dispatch.JobExplanation{Group: j.Queue + " " + j.Team}, nil
	}
	for name, test := range map[string]struct {
		readError error
		explain   func(context.Context, *workload.Job) (dispatch.JobExplanation, error)
		status    int
		contains  string
	}{
		"answered":        {explain: answers, status: http.StatusOK, contains: `"group":"q t"`},
		"malformed":       {readError: errors.New("no JSON"), explain: answers, status: http.StatusBadRequest, contains: "no JSON"},
		"not coordinator": {explain: notCoordinator, status: http.StatusServiceUnavailable, contains: CodeNotCoordinator},
		"busy loop": {explain: func(context.Context, *workload.Job) (dispatch.JobExplanation, error) {
			return dispatch.JobExplanation{}, context.DeadlineExceeded
		}, status: http.StatusServiceUnavailable, contains: "has not answered"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &explainer{host: "h", explain: test.explain, admission: newAdmission(&linkmeter.Meter{}, 0, logr.Discard()),
				readJob: func(io.Reader) (*workload.Job, error) { return &workload.Job{}, test.readError }}
			answer := httptest.NewRecorder()
			e.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, ExplainPath+"?queue=q&team=t", strings.NewReader("{}")))
			is.Equal(answer.Code, test.status)
			is.True(json.Valid(answer.Body.Bytes()))
			is.True(strings.Contains(answer.Body.String(), test.contains))
		})
	}
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxOperatorBody bounds the body of an operator's request, in bytes.
	maxOperatorBody = plan.MaxListSize + 1<<20
	// auditFlushTimeout is how long an answer waits until its audit entry is in the store.
	auditFlushTimeout = 2 * time.Second
	// operatorAttribute is the request attribute that holds the operator's name.
	operatorAttribute = "Operator"
)

// operatorCode identifies an error of the operator API; its values are stable.
type operatorCode string

// Error codes of the operator API.
const (
	codeOperatorUnknown  operatorCode = "OperatorUnknown"
	codeRequestInvalid   operatorCode = "RequestInvalid"
	codeRequestTooLarge  operatorCode = "RequestTooLarge"
	codeListInvalid      operatorCode = "ListInvalid"
	codeConflict         operatorCode = "Conflict"
	codeNotFound         operatorCode = "NotFound"
	codeOverloaded       operatorCode = "Overloaded"
	codeStoreUnavailable operatorCode = "StoreUnavailable"
	codeOutcomeUnknown   operatorCode = "OutcomeUnknown"
)

// operatorStatuses maps each code to its HTTP status.
var operatorStatuses = map[operatorCode]int{
	codeOperatorUnknown:  http.StatusUnauthorized,
	codeRequestInvalid:   http.StatusBadRequest,
	codeRequestTooLarge:  http.StatusRequestEntityTooLarge,
	codeListInvalid:      http.StatusUnprocessableEntity,
	codeConflict:         http.StatusConflict,
	codeNotFound:         http.StatusNotFound,
	codeOverloaded:       http.StatusServiceUnavailable,
	codeStoreUnavailable: http.StatusServiceUnavailable,
	codeOutcomeUnknown:   http.StatusBadGateway,
}

// operatorError is the JSON form of an error of the operator API.
type operatorError struct {
	Code   operatorCode
	Reason string
	// Faults lists what is wrong with the request, with the path of each field.
	Faults []document.Fault `json:",omitempty"`
	// Revision, Conflicts and Changes are set for a conflict: the revision in force, the entries that both it and the edit
	// changed since the base, and all changes that the edit would make to it.
	Revision  uint64          `json:",omitempty"`
	Conflicts []plan.Conflict `json:",omitempty"`
	Changes   []plan.Change   `json:",omitempty"`
}

// Error implements error.
func (e *operatorError) Error() string {
	return string(e.Code) + ": " + e.Reason
}

// operatorAPI serves the operator API.
type operatorAPI struct {
	settings  settings.Settings
	revisions *revision.Repository
	trail     *audit.Trail
	store     *store.Client
	metrics   *operatorMetrics
	log       *log.Logger
	// stopping reports whether the entry host is shutting down, balancer learns of the readiness checks that fail then.
	stopping func() bool
	balancer *ingress.Balancer
	// entries returns the revision that each entry host is known to have in force, this entry host first.
	entries func(now time.Time) []entryStatus
	load    loadFuncs
}

func (a *operatorAPI) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	ws.Filter(a.authenticate)
	a.routeLists(ws)
	a.routeKeys(ws)
	a.routeRevisions(ws)
	ws.Route(ws.GET("/status").To(a.getStatus).Operation("GetStatus"))
	ws.Route(ws.GET("/audit").To(a.getAudit).Operation("GetAudit"))

	c := restful.NewContainer()
	c.Filter(a.metrics.count)
	c.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, w *restful.Response) {
		code := codeRequestInvalid
		if e.Code == http.StatusNotFound {
			code = codeNotFound
		}
		writeJSON(w, e.Code, operatorError{Code: code, Reason: e.Message})
	})
	c.Add(ws)
	c.Handle("/healthz", http.HandlerFunc(a.healthz))
	c.Handle("/readyz", http.HandlerFunc(a.readyz))
	c.Handle("/metrics", a.metrics.handler())

	return http.MaxBytesHandler(c, maxOperatorBody)
}

// authenticate finds the operator by the request's token. It compares every hash, so that the time taken does not reveal
// which operator matched.
func (a *operatorAPI) authenticate(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	token, found := strings.CutPrefix(r.HeaderParameter("Authorization"), bearerPrefix)
	name := ""
	for _, o := range a.settings.Operators {
		if o.TokenHash.Matches(token) {
			name = o.Name
		}
	}
	if !found || name == "" {
		a.log.Warn("operator authentication failed", "remote", r.Request.RemoteAddr, "path", r.Request.URL.Path)
		a.fail(w, &operatorError{Code: codeOperatorUnknown, Reason: "the operator's token is missing or wrong"})

		return
	}

	r.SetAttribute(operatorAttribute, name)
	chain.ProcessFilter(r, w)
}

func operatorOf(r *restful.Request) string {
	name, _ := r.Attribute(operatorAttribute).(string)
	return name
}

// decode reads the body into v; if the body is invalid, it answers with all its faults and returns false.
func (a *operatorAPI) decode(r *restful.Request, w *restful.Response, v any) bool {
	data, err := io.ReadAll(r.Request.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.fail(w, &operatorError{Code: codeRequestTooLarge, Reason: fmt.Sprintf("a request must have at most %d bytes", maxOperatorBody)})
		return false
	}
	if ingress.IsRefused(err) {
		w.Header().Set("Retry-After", strconv.Itoa(int(overloadRetry.Seconds())))
		a.fail(w, &operatorError{Code: codeOverloaded, Reason: "nothing was changed: " + err.Error()})

		return false
	}
	if err != nil {
		a.fail(w, &operatorError{Code: codeRequestInvalid, Reason: "the request was cut short: " + err.Error()})
		return false
	}
	if _, faults := document.Decode(data, v); len(faults) > 0 {
		a.fail(w, &operatorError{Code: codeRequestInvalid, Reason: "the request is malformed", Faults: faults})
		return false
	}

	return true
}

// fail answers with the JSON form of an error.
func (a *operatorAPI) fail(w http.ResponseWriter, err error) {
	e := asOperatorError(err)
	writeJSON(w, operatorStatuses[e.Code], e)
}

func asOperatorError(err error) *operatorError {
	var e *operatorError
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, plan.ErrInvalid):
		return &operatorError{Code: codeListInvalid, Reason: err.Error()}
	case notInHistory(err):
		return &operatorError{Code: codeNotFound, Reason: err.Error()}
	case errors.Is(err, revision.ErrStale):
		return &operatorError{Code: codeConflict, Reason: err.Error()}
	case errors.Is(err, store.ErrOutcomeUnknown):
		return &operatorError{Code: codeOutcomeUnknown, Reason: "the change may or may not be accepted, look before you repeat it: " + err.Error()}
	default:
		return &operatorError{Code: codeStoreUnavailable, Reason: "nothing was changed: " + err.Error()}
	}
}

// record adds the result of a change to the audit trail and reports whether the entry is already in the store.
func (a *operatorAPI) record(ctx context.Context, e audit.Entry, err error) (written bool) {
	e.Result = audit.Accepted
	if err != nil {
		failure := asOperatorError(err)
		e.Result, e.Reason = audit.Refused, string(failure.Code)+": "+failure.Reason
		if failure.Code == codeOutcomeUnknown {
			e.Result = audit.Unknown
		}
	}
	a.trail.Record(e)
	if err != nil {
		// The change was refused or its outcome is unknown; the entry is written with the next batch.
		return false
	}

	// The change is in force even if the operator disconnects, so ctx being cancelled must not stop the audit entry.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditFlushTimeout)
	defer cancel()

	return a.trail.Flush(ctx) == nil
}

func (a *operatorAPI) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// readyz reports whether the load balancer should send callers to this entry host.
func (a *operatorAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.stopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		a.balancer.Miss()
	case !a.revisions.Fresh(time.Now()):
		http.Error(w, "the configuration was not confirmed recently", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// entryStatus is the known state of an entry host.
type entryStatus struct {
	Name fleet.EntryName
	// Revision is zero for another entry host that has not put this entry host's revision in force yet.
	Revision uint64
	InForce  bool
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxOperatorBody bounds a request of an operator, in bytes.
	maxOperatorBody = plan.MaxListSize + 1<<20
	// auditWait is how long an answer waits for its entry of the audit trail to be in the store.
	auditWait = 2 * time.Second
	// attributeOperator is where the name of the operator is kept during a request.
	attributeOperator = "Operator"
)

// operatorCode is a stable identifier of an error of the operators' interface.
type operatorCode string

// The codes of the operators' interface.
const (
	codeOperatorUnknown  operatorCode = "OperatorUnknown"
	codeRequestInvalid   operatorCode = "RequestInvalid"
	codeRequestTooLarge  operatorCode = "RequestTooLarge"
	codeListInvalid      operatorCode = "ListInvalid"
	codeConflict         operatorCode = "Conflict"
	codeNotFound         operatorCode = "NotFound"
	codeStoreUnavailable operatorCode = "StoreUnavailable"
	codeOutcomeUnknown   operatorCode = "OutcomeUnknown"
)

// operatorStatuses gives the HTTP status of each code.
var operatorStatuses = map[operatorCode]int{
	codeOperatorUnknown:  http.StatusUnauthorized,
	codeRequestInvalid:   http.StatusBadRequest,
	codeRequestTooLarge:  http.StatusRequestEntityTooLarge,
	codeListInvalid:      http.StatusUnprocessableEntity,
	codeConflict:         http.StatusConflict,
	codeNotFound:         http.StatusNotFound,
	codeStoreUnavailable: http.StatusServiceUnavailable,
	codeOutcomeUnknown:   http.StatusBadGateway,
}

// operatorError is the JSON form of an error of the operators' interface.
type operatorError struct {
	Code   operatorCode
	Reason string
	// Faults are what is wrong with the request, with the path of each field.
	Faults []document.Fault `json:",omitempty"`
	// Revision is the one in force, Conflicts the entries that it and the edit both changed since the base, and Changes what
	// the edit as a whole would change in it; all for a conflict.
	Revision  uint64          `json:",omitempty"`
	Conflicts []plan.Conflict `json:",omitempty"`
	Changes   []plan.Change   `json:",omitempty"`
}

// Error implements error.
func (e *operatorError) Error() string {
	return string(e.Code) + ": " + e.Reason
}

// operatorAPI serves the operators' interface.
type operatorAPI struct {
	settings settings.Settings
	book     *revision.Book
	trail    *audit.Trail
	store    *store.Client
	metrics  *operatorMetrics
	log      *log.Logger
	// stopping reports whether the entry host is about to leave.
	stopping func() bool
	// entries returns what is known of the revisions of the entry hosts, this one first.
	entries func(now time.Time) []entryStatus
	load    loadView
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

// authenticate finds the operator whose token came with the request; every hash is compared, so the time tells nothing.
func (a *operatorAPI) authenticate(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	token, found := strings.CutPrefix(r.HeaderParameter("Authorization"), bearerPrefix)
	name := ""
	for _, o := range a.settings.Operators {
		if o.TokenHash.Matches(token) {
			name = o.Name
		}
	}
	if !found || name == "" {
		a.log.Warn("operator refused", "remote", r.Request.RemoteAddr, "path", r.Request.URL.Path)
		a.fail(w, &operatorError{Code: codeOperatorUnknown, Reason: "the operator's token is missing or wrong"})

		return
	}

	r.SetAttribute(attributeOperator, name)
	chain.ProcessFilter(r, w)
}

func operatorOf(r *restful.Request) string {
	name, _ := r.Attribute(attributeOperator).(string)
	return name
}

// decode reads the body into v, or answers with every fault of it and returns false.
func (a *operatorAPI) decode(r *restful.Request, w *restful.Response, v any) bool {
	data, err := io.ReadAll(r.Request.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.fail(w, &operatorError{Code: codeRequestTooLarge, Reason: fmt.Sprintf("a request must have at most %d bytes", maxOperatorBody)})
		return false
	}
	if err != nil {
		a.fail(w, &operatorError{Code: codeRequestInvalid, Reason: "the request was cut short: " + err.Error()})
		return false
	}
	if _, faults := document.Decode(data, v); len(faults) > 0 {
		a.fail(w, &operatorError{Code: codeRequestInvalid, Reason: "the request is not of the expected form", Faults: faults})
		return false
	}

	return true
}

// fail answers with the typed form of an error.
func (a *operatorAPI) fail(w http.ResponseWriter, err error) {
	e := typed(err)
	writeJSON(w, operatorStatuses[e.Code], e)
}

func typed(err error) *operatorError {
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

// record adds what became of a change to the audit trail and reports whether its entry is in the store already.
func (a *operatorAPI) record(ctx context.Context, e audit.Entry, err error) (written bool) {
	e.Result = audit.Accepted
	if err != nil {
		failure := typed(err)
		e.Result, e.Reason = audit.Refused, string(failure.Code)+": "+failure.Reason
		if failure.Code == codeOutcomeUnknown {
			e.Result = audit.Unknown
		}
	}
	a.trail.Record(e)
	if err != nil {
		// Nothing changed, or nobody knows; the entry is written with the next batch.
		return false
	}

	// The change is in force whether its caller waits or not, so the entry must not depend on the caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditWait)
	defer cancel()

	return a.trail.Flush(ctx) == nil
}

func (a *operatorAPI) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// readyz says whether the balancer should send callers here.
func (a *operatorAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.stopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.book.Fresh(time.Now()):
		http.Error(w, "the configuration was not confirmed recently", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// entryStatus is what is known of an entry host.
type entryStatus struct {
	Name fleet.EntryName
	// Revision is zero if another entry host has not put the revision of this one in force yet.
	Revision uint64
	InForce  bool
}

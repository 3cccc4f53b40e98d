package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
)

const (
	defaultAuditLimit = 100
	maxAuditLimit     = 10_000
)

type auditAnswer struct {
	Entries []audit.Entry
}

func (a *operatorAPI) getAudit(r *restful.Request, w *restful.Response) {
	f, faults := auditFilter(r)
	if len(faults) > 0 {
		a.fail(w, &operatorError{Code: codeRequestInvalid, Reason: "the filter is malformed", Faults: faults})
		return
	}

	entries, err := audit.Read(r.Request.Context(), a.store, f)
	if err != nil {
		a.fail(w, &operatorError{Code: codeStoreUnavailable, Reason: "the audit trail can't be read: " + err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, auditAnswer{Entries: append([]audit.Entry{}, entries...)})
}

// auditFilter parses the query; since is a time or a duration before now.
func auditFilter(r *restful.Request) (audit.Filter, []document.Fault) {
	f := audit.Filter{
		Who: r.QueryParameter("who"), Subject: r.QueryParameter("subject"), Action: audit.Action(r.QueryParameter("action")),
		Limit: defaultAuditLimit,
	}
	var faults []document.Fault
	if text := r.QueryParameter("since"); text != "" {
		ago, durationErr := time.ParseDuration(text)
		at, timeErr := time.Parse(time.RFC3339, text)
		switch {
		case durationErr == nil:
			f.Since = time.Now().Add(-ago)
		case timeErr == nil:
			f.Since = at
		default:
			reason := "is " + strconv.Quote(text) + `, must be a duration such as "24h" or a time such as "2026-03-01T08:00:00Z"`
			faults = append(faults, document.Fault{Path: "since", Reason: reason})
		}
	}
	if text := r.QueryParameter("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditLimit {
			reason := "is " + strconv.Quote(text) + ", must be 1 to " + strconv.Itoa(maxAuditLimit)
			faults = append(faults, document.Fault{Path: "limit", Reason: reason})
		}
		f.Limit = n
	}

	return f, faults
}

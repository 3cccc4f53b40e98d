package entry

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
)

// listsDocument is both lists; Base is the revision that they are, or that an edit of them was made from.
type listsDocument struct {
	Base  uint64
	Lists plan.Lists
}

type customersDocument struct {
	Base uint64
	plan.CustomersList
}

type plansDocument struct {
	Base uint64
	plan.PlansList
}

type acceptedAnswer struct {
	// Revision is the one that has the change; it is the one in force already if nothing changed.
	Revision uint64
	Changes  []plan.Change `json:",omitempty"`
	// AuditPending says that the entry of the audit trail still waits to be written.
	AuditPending bool `json:",omitempty"`
}

func (a *operatorAPI) routeLists(ws *restful.WebService) {
	ws.Route(ws.GET("/lists").To(a.getLists).Operation("GetLists"))
	ws.Route(ws.PUT("/lists").To(a.putLists).Operation("PutLists"))
	ws.Route(ws.POST("/lists/customers").To(a.postCustomers).Operation("PostCustomers"))
	ws.Route(ws.POST("/lists/plans").To(a.postPlans).Operation("PostPlans"))
}

func (a *operatorAPI) getLists(_ *restful.Request, w *restful.Response) {
	cur := a.book.Current()
	writeJSON(w, http.StatusOK, listsDocument{Base: cur.Number, Lists: cur.Lists})
}

func (a *operatorAPI) putLists(r *restful.Request, w *restful.Response) {
	var doc listsDocument
	if a.decode(r, w, &doc) {
		a.applyLists(r, w, doc.Base, "Lists", func(plan.Lists) plan.Lists { return doc.Lists })
	}
}

func (a *operatorAPI) postCustomers(r *restful.Request, w *restful.Response) {
	var doc customersDocument
	if a.decode(r, w, &doc) {
		a.applyLists(r, w, doc.Base, "Lists/Customers", func(l plan.Lists) plan.Lists {
			l.CustomersList = doc.CustomersList
			return l
		})
	}
}

func (a *operatorAPI) postPlans(r *restful.Request, w *restful.Response) {
	var doc plansDocument
	if a.decode(r, w, &doc) {
		a.applyLists(r, w, doc.Base, "Lists/Plans", func(l plan.Lists) plan.Lists {
			l.PlansList = doc.PlansList
			return l
		})
	}
}

// applyLists puts the lists that edit returns in force if base still is; the same lists again change nothing.
func (a *operatorAPI) applyLists(
	r *restful.Request, w *restful.Response, base uint64, subject string, edit func(plan.Lists) plan.Lists,
) {
	var changes []plan.Change
	var unchanged *operatorError
	next, err := a.book.Apply(r.Request.Context(), func(cur revision.Revision) (revision.Revision, error) {
		lists := edit(cur.Lists)
		changes = plan.Diff(cur.Lists, lists)
		if len(changes) == 0 {
			unchanged = &operatorError{Code: codeConflict, Revision: cur.Number}
			return cur, unchanged
		}
		if cur.Number != base {
			return cur, conflict(cur, lists, base)
		}
		if faults := listFaults(lists); len(faults) > 0 {
			return cur, &operatorError{Code: codeListInvalid, Reason: "the lists do not hold together", Faults: faults}
		}

		return cur.WithLists(lists), nil
	})
	if unchanged != nil {
		writeJSON(w, http.StatusOK, acceptedAnswer{Revision: unchanged.Revision})
		return
	}

	written := a.record(r.Request.Context(), audit.Entry{
		Who: operatorOf(r), Action: audit.ApplyLists, Subject: subject, Base: base, Revision: next.Number, Changes: lines(changes),
	}, err)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, acceptedAnswer{Revision: next.Number, Changes: changes, AuditPending: !written})
}

// conflict names what the lists would undo of the revision in force.
func conflict(cur revision.Revision, lists plan.Lists, base uint64) error {
	reason := "the edit was made from another revision than the one in force; Changes lead from the edit to what is in force"
	if base > cur.Number {
		reason = "the edit names a later revision than the one in force"
	}

	return &operatorError{Code: codeConflict, Reason: reason, Revision: cur.Number, Changes: plan.Diff(lists, cur.Lists)}
}

func listFaults(l plan.Lists) []document.Fault {
	var faults []document.Fault
	for _, f := range l.Faults() {
		faults = append(faults, document.Fault{Path: f.Path, Reason: f.Reason})
	}

	return faults
}

func lines(changes []plan.Change) []string {
	list := make([]string, len(changes))
	for i, c := range changes {
		list[i] = c.String()
	}

	return list
}

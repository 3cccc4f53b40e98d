package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
)

// listsDocument holds both lists. Base is their revision in an answer, and the revision that the edit was made from in a
// request.
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
	// Revision is the revision with the change, or the one already in force if nothing changed.
	Revision uint64
	Changes  []plan.Change `json:",omitempty"`
	// AuditPending reports whether the audit entry is still to be written to the store.
	AuditPending bool `json:",omitempty"`
}

func (a *operatorAPI) routeLists(ws *restful.WebService) {
	ws.Route(ws.GET("/lists").To(a.getLists).Operation("GetLists"))
	ws.Route(ws.PUT("/lists").To(a.putLists).Operation("PutLists"))
	ws.Route(ws.POST("/lists/customers").To(a.postCustomers).Operation("PostCustomers"))
	ws.Route(ws.POST("/lists/plans").To(a.postPlans).Operation("PostPlans"))
}

func (a *operatorAPI) getLists(_ *restful.Request, w *restful.Response) {
	cur := a.revisions.Current()
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

// applyLists puts the lists that edit returns in force. Lists equal to those in force change nothing. Edits of other
// entries since the base are kept, and edits of the same entries are a conflict.
func (a *operatorAPI) applyLists(
	r *restful.Request, w *restful.Response, base uint64, subject string, edit func(plan.Lists) plan.Lists,
) {
	var changes []plan.Change
	unchanged := uint64(0)
	ctx, who := r.Request.Context(), operatorOf(r)
	next, err := a.revisions.ApplyAs(ctx, who, func(cur revision.Revision) (revision.Revision, error) {
		unchanged = 0
		if len(plan.Diff(cur.Lists, edit(cur.Lists))) == 0 {
			unchanged = cur.Number
			return cur, nil
		}
		lists, err := a.merge(ctx, cur, base, edit)
		if err != nil {
			return cur, err
		}
		if faults := listFaults(lists); len(faults) > 0 {
			return cur, &operatorError{Code: codeListInvalid, Reason: "the lists are invalid", Faults: faults}
		}
		changes = plan.Diff(cur.Lists, lists)

		return cur.WithLists(lists), nil
	})
	if err == nil && unchanged > 0 {
		writeJSON(w, http.StatusOK, acceptedAnswer{Revision: unchanged})
		return
	}

	written := a.record(ctx, audit.Entry{
		Who: who, Action: audit.ApplyLists, Subject: subject, Base: base, Revision: next.Number, Changes: changeLines(changes),
	}, err)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, acceptedAnswer{Revision: next.Number, Changes: changes, AuditPending: !written})
}

// merge applies an edit that was made from the base revision to the revision in force.
func (a *operatorAPI) merge(ctx context.Context, cur revision.Revision, base uint64, edit func(plan.Lists) plan.Lists) (plan.Lists, error) {
	if cur.Number == base {
		return edit(cur.Lists), nil
	}

	conflict := &operatorError{Code: codeConflict, Revision: cur.Number, Changes: plan.Diff(cur.Lists, edit(cur.Lists))}
	from, err := a.revisions.At(ctx, base)
	if errors.Is(err, revision.ErrNoSuchRevision) {
		conflict.Reason = fmt.Sprintf("the edit was made from revision %d, which the history does not have", base)
		return plan.Lists{}, conflict
	}
	if err != nil {
		return plan.Lists{}, err
	}
	mine := edit(from.Lists)
	merged, conflicts := plan.Merge(from.Lists, cur.Lists, mine)
	if len(conflicts) > 0 {
		conflict.Reason = fmt.Sprintf("the same entries were edited since revision %d", base)
		conflict.Conflicts = conflicts

		return plan.Lists{}, conflict
	}

	return merged, nil
}

func listFaults(l plan.Lists) []document.Fault {
	var faults []document.Fault
	for _, f := range l.Faults() {
		faults = append(faults, document.Fault{Path: f.Path, Reason: f.Reason})
	}

	return faults
}

func changeLines(changes []plan.Change) []string {
	list := make([]string, len(changes))
	for i, c := range changes {
		list[i] = c.String()
	}

	return list
}

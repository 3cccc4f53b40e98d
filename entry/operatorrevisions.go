package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
)

// revisionAnswer is an accepted edit.
type revisionAnswer struct {
	Number uint64
	By     string
	At     time.Time
}

// revisionsAnswer is the history, the newest edit first.
type revisionsAnswer struct {
	Revisions []revisionAnswer
}

func (a *operatorAPI) routeRevisions(ws *restful.WebService) {
	ws.Route(ws.GET("/revisions").To(a.listRevisions).Operation("ListRevisions"))
	ws.Route(ws.GET("/revisions/{number}/lists").To(a.getRevision).Operation("GetRevision"))
	ws.Route(ws.POST("/revisions/{number}/restore").To(a.restore).Operation("RestoreRevision").
		AllowedMethodsWithoutContentType([]string{http.MethodPost}))
}

func (a *operatorAPI) listRevisions(_ *restful.Request, w *restful.Response) {
	answer := revisionsAnswer{Revisions: []revisionAnswer{}}
	for _, e := range a.revisions.History() {
		answer.Revisions = append(answer.Revisions, revisionAnswer{Number: e.Number, By: e.By, At: e.At})
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *operatorAPI) getRevision(r *restful.Request, w *restful.Response) {
	number, err := revisionNumber(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	rev, err := a.revisions.At(r.Request.Context(), number)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listsDocument{Base: rev.Number, Lists: rev.Lists})
}

// restore puts the lists of an earlier revision in force as a new revision; keys are not changed.
func (a *operatorAPI) restore(r *restful.Request, w *restful.Response) {
	number, err := revisionNumber(r)
	if err != nil {
		a.fail(w, err)
		return
	}

	var changes []plan.Change
	ctx, who, base := r.Request.Context(), operatorOf(r), uint64(0)
	next, err := a.revisions.ApplyAs(ctx, who, func(cur revision.Revision) (revision.Revision, error) {
		old, err := a.revisions.At(ctx, number)
		if err != nil {
			return cur, err
		}
		base, changes = cur.Number, plan.Diff(cur.Lists, old.Lists)

		return cur.WithLists(old.Lists), nil
	})
	written := a.record(ctx, audit.Entry{
		Who: who, Action: audit.ApplyLists, Subject: "Lists/Restore/" + strconv.FormatUint(number, 10), Base: base, Revision: next.Number,
		Changes: changeLines(changes),
	}, err)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, acceptedAnswer{Revision: next.Number, Changes: changes, AuditPending: !written})
}

func revisionNumber(r *restful.Request) (uint64, error) {
	text := r.PathParameter("number")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &operatorError{Code: codeRequestInvalid, Reason: "the path names no revision", Faults: []document.Fault{
			{Path: "number", Reason: "is " + strconv.Quote(text) + ", must be the number of a revision"},
		}}
	}

	return number, nil
}

// notInHistory reports whether err means that the history does not have a revision.
func notInHistory(err error) bool {
	return errors.Is(err, revision.ErrNoSuchRevision)
}

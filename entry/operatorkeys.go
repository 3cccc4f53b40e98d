package entry

import (
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/revision"
)

type giveKeyRequest struct {
	Team fleet.TeamName
}

// giveKeyAnswer is the only answer that contains a secret.
type giveKeyAnswer struct {
	ID           key.ID
	Team         fleet.TeamName
	Secret       string
	Revision     uint64
	AuditPending bool `json:",omitempty"`
}

// keyAnswer is a key without its hash.
type keyAnswer struct {
	ID    key.ID
	Team  fleet.TeamName
	Given time.Time
}

type keysAnswer struct {
	Revision uint64
	Keys     []keyAnswer
}

func (a *operatorAPI) routeKeys(ws *restful.WebService) {
	ws.Route(ws.GET("/keys").To(a.listKeys).Operation("ListKeys"))
	ws.Route(ws.POST("/keys").To(a.giveKey).Operation("GiveKey"))
	ws.Route(ws.DELETE("/keys/{id}").To(a.withdrawKey).Operation("WithdrawKey"))
}

func (a *operatorAPI) listKeys(r *restful.Request, w *restful.Response) {
	cur := a.revisions.Current()
	keys := cur.Keys.Keys()
	if team := r.QueryParameter("team"); team != "" {
		keys = cur.Keys.OfTeam(fleet.TeamName(team))
	}

	answer := keysAnswer{Revision: cur.Number, Keys: []keyAnswer{}}
	for _, k := range keys {
		answer.Keys = append(answer.Keys, keyAnswer{ID: k.ID, Team: k.Team, Given: k.Given})
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *operatorAPI) giveKey(r *restful.Request, w *restful.Response) {
	var req giveKeyRequest
	if !a.decode(r, w, &req) {
		return
	}

	k, secret := key.Issue(req.Team, time.Now().UTC())
	base := uint64(0)
	next, err := a.revisions.ApplyAs(r.Request.Context(), operatorOf(r), func(cur revision.Revision) (revision.Revision, error) {
		base = cur.Number
		if _, ok := cur.Tables.Teams.Get(req.Team); !ok {
			return cur, &operatorError{Code: codeNotFound, Reason: "no customer has a team " + string(req.Team)}
		}

		return cur.WithKeys(cur.Keys.With(k)), nil
	})
	written := a.record(r.Request.Context(), audit.Entry{
		Who: operatorOf(r), Action: audit.GiveKey, Subject: "Keys/" + string(k.ID), Base: base, Revision: next.Number,
		Changes: []string{"team " + string(req.Team)},
	}, err)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, giveKeyAnswer{ID: k.ID, Team: k.Team, Secret: secret, Revision: next.Number, AuditPending: !written})
}

func (a *operatorAPI) withdrawKey(r *restful.Request, w *restful.Response) {
	id := key.ID(r.PathParameter("id"))
	var withdrawn key.Key
	base := uint64(0)
	next, err := a.revisions.ApplyAs(r.Request.Context(), operatorOf(r), func(cur revision.Revision) (revision.Revision, error) {
		var ok bool
		base = cur.Number
		if withdrawn, ok = cur.Keys.Get(id); !ok {
			return cur, &operatorError{Code: codeNotFound, Reason: "no key in force has the ID " + string(id)}
		}

		return cur.WithKeys(cur.Keys.Without(id)), nil
	})
	written := a.record(r.Request.Context(), audit.Entry{
		Who: operatorOf(r), Action: audit.WithdrawKey, Subject: "Keys/" + string(id), Base: base, Revision: next.Number,
		Changes: []string{"team " + string(withdrawn.Team)},
	}, err)
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, acceptedAnswer{Revision: next.Number, AuditPending: !written})
}

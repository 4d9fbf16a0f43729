package wire

import (
	"encoding/json"
	"fmt"

	"threadglade.example/threadglade"
)

// settingsJSON is the wire form of an instance's settings. Durations are in milliseconds.
type settingsJSON struct {
	Index          int     `json:"me"`
	Proxies        int     `json:"replicasOfMe"`
	Discovery      string  `json:"discovery"`
	OverShareWorth float64 `json:"overShareWorth"`
	Classes        []struct {
		Name       string  `json:"name"`
		Aim        float64 `json:"aimMs"`
		Deadline   float64 `json:"deadlineMs"`
		Worth      float64 `json:"gain"`
		LateFactor float64 `json:"lateWorth"`
		Repeat     string  `json:"repeat"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
		Share float64 `json:"share"`
	} `json:"orgs"`
	Callers struct {
		MarkRetries bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Domain struct {
		Pools        [][]int   `json:"allowedPools"`
		Circuits     []int     `json:"classWidth"`
		ReleaseWait  float64   `json:"clearWaitMs"`
		HoldingTimes []float64 `json:"holdingMs"`
		NetworkForm  string    `json:"networkForm"`
	} `json:"domain"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		MaxAttempts   int     `json:"maxAttempts"`
		MaxRetryAfter float64 `json:"maxRetryAfterMs"`
		RetryAfter    bool    `json:"retryAfter"`
	} `json:"limits"`
	Rules struct {
		ColdFrom         float64 `json:"coldFrom"`
		DrainGrace       float64 `json:"drainGraceMs"`
		CollapseMultiple float64 `json:"fallMultiple"`
		CollapseWindow   float64 `json:"overloadForMs"`
		WarmWithin       float64 `json:"warmWithinMs"`
	} `json:"rules"`
}

// repeatsByName holds the wire names of the repeat rules.
var repeatsByName = map[string]threadglade.Repeat{
	"free": threadglade.RepeatFree, "guarded": threadglade.RepeatGuarded, "single_shot": threadglade.RepeatNever}

// ParseSettings parses an instance's settings. Unknown keys are ignored.
func ParseSettings(raw json.RawMessage) (threadglade.Settings, error) {
	var p settingsJSON
	if err := json.Unmarshal(raw, &p); err != nil {
		return threadglade.Settings{}, err
	}
	s := threadglade.Settings{
		Index: p.Index, Proxies: p.Proxies, OverQuotaFactor: p.OverShareWorth,
		Network: p.Domain.NetworkForm == "network", SubscribeList: p.Discovery == "on_request",
		Limits: threadglade.Limits{MaxAttempts: p.Limits.MaxAttempts, MaxRetryAfter: Duration(p.Limits.MaxRetryAfter),
			RetryAfter: p.Limits.RetryAfter, Cancel: p.Limits.Cancel},
		Rules: threadglade.Rules{ReleaseWait: Duration(p.Domain.ReleaseWait), DrainGrace: Duration(p.Rules.DrainGrace),
			ColdCapacity: p.Rules.ColdFrom, WarmUpTime: Duration(p.Rules.WarmWithin),
			CollapseMultiple: p.Rules.CollapseMultiple, CollapseWindow: Duration(p.Rules.CollapseWindow)},
		Callers: threadglade.Callers{MarkRetries: p.Callers.MarkRetries},
	}
	for i, c := range p.Classes {
		if _, known := repeatsByName[c.Repeat]; !known {
			return s, fmt.Errorf("classes[%d].repeat: %q is unknown", i, c.Repeat)
		}
		class := threadglade.Class{Name: c.Name, Aim: Duration(c.Aim), Deadline: Duration(c.Deadline), Worth: c.Worth,
			LateFactor: c.LateFactor, Repeat: repeatsByName[c.Repeat]}
		if i < len(p.Domain.Pools) {
			class.Servers = p.Domain.Pools[i]
		}
		if i < len(p.Domain.Circuits) {
			class.Circuits = p.Domain.Circuits[i]
		}
		if i < len(p.Domain.HoldingTimes) {
			class.HoldingTime = Duration(p.Domain.HoldingTimes[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, threadglade.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, nil
}

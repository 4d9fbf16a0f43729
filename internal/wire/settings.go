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
		Name     string  `json:"name"`
		Aim      float64 `json:"aimMs"`
		Deadline float64 `json:"deadlineMs"`
		Gain     float64 `json:"gain"`
		Late     float64 `json:"lateWorth"`
		Repeat   string  `json:"repeat"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
		Share float64 `json:"share"`
	} `json:"orgs"`
	Callers struct {
		Marks bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Domain struct {
		Pools   [][]int   `json:"allowedPools"`
		Width   []int     `json:"classWidth"`
		Release float64   `json:"clearWaitMs"`
		Holding []float64 `json:"holdingMs"`
		Form    string    `json:"networkForm"`
	} `json:"domain"`
	Limits struct {
		Cancel      bool    `json:"cancel"`
		MaxAttempts int     `json:"maxAttempts"`
		MaxPause    float64 `json:"maxRetryAfterMs"`
		RetryAfter  bool    `json:"retryAfter"`
	} `json:"limits"`
	Rules struct {
		ColdFrom   float64 `json:"coldFrom"`
		DrainGrace float64 `json:"drainGraceMs"`
		Multiple   float64 `json:"fallMultiple"`
		Window     float64 `json:"overloadForMs"`
		WarmWithin float64 `json:"warmWithinMs"`
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
		Network: p.Domain.Form == "network", SubscribeList: p.Discovery == "on_request",
		Limits: threadglade.Limits{MaxAttempts: p.Limits.MaxAttempts, MaxRetryAfter: Duration(p.Limits.MaxPause),
			RetryAfter: p.Limits.RetryAfter, Cancel: p.Limits.Cancel},
		Rules: threadglade.Rules{ReleaseWait: Duration(p.Domain.Release), DrainGrace: Duration(p.Rules.DrainGrace),
			ColdCapacity: p.Rules.ColdFrom, WarmUpTime: Duration(p.Rules.WarmWithin),
			CollapseMultiple: p.Rules.Multiple, CollapseWindow: Duration(p.Rules.Window)},
		Callers: threadglade.Callers{MarkRetries: p.Callers.Marks},
	}
	for i, c := range p.Classes {
		if _, known := repeatsByName[c.Repeat]; !known {
			return s, fmt.Errorf("classes[%d].repeat: %q is unknown", i, c.Repeat)
		}
		class := threadglade.Class{Name: c.Name, Aim: Duration(c.Aim), Deadline: Duration(c.Deadline), Worth: c.Gain,
			LateFactor: c.Late, Repeat: repeatsByName[c.Repeat]}
		if i < len(p.Domain.Pools) {
			class.Servers = p.Domain.Pools[i]
		}
		if i < len(p.Domain.Width) {
			class.Circuits = p.Domain.Width[i]
		}
		if i < len(p.Domain.Holding) {
			class.HoldingTime = Duration(p.Domain.Holding[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, threadglade.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, nil
}

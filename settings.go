package threadglade

import (
	"fmt"
	"hash/fnv"
	"time"
)

// This file validates settings and changes them at run time. It never modifies a Settings value in use, as calls in
// progress keep the one that was in force when they arrived.

// Validate returns an error that names the first invalid field, or nil.
func (set Settings) Validate() error {
	names := map[string]bool{}
	switch {
	case set.Proxies < 1:
		return fmt.Errorf("threadglade: Proxies is %d, must be at least 1", set.Proxies)
	case len(set.Classes) == 0:
		return fmt.Errorf("threadglade: Classes is empty")
	case set.Rules.ReleaseWait < 0 || set.Rules.WarmUpTime < 0 || set.Rules.CollapseWindow < 0:
		return fmt.Errorf("threadglade: Rules: ReleaseWait, WarmUpTime and CollapseWindow must not be negative")
	case set.Limits.MaxAttempts < 1:
		return fmt.Errorf("threadglade: Limits.MaxAttempts is %d, must be at least 1", set.Limits.MaxAttempts)
	}
	for i, class := range set.Classes {
		switch {
		case names[class.Name]:
			return fmt.Errorf("threadglade: Classes[%d]: duplicate class name %q", i, class.Name)
		case class.Aim <= 0 || class.Deadline <= 0:
			return fmt.Errorf("threadglade: Classes[%d]: Aim and Deadline must be positive", i)
		case !set.Network && len(class.Servers) == 0:
			return fmt.Errorf("threadglade: Classes[%d].Servers is empty", i)
		}
		names[class.Name] = true
	}
	return nil
}

// Change replaces the settings for all further arrivals. Calls in progress keep the settings that were in force when
// they arrived. What is known about servers and about the arrival rates of tenants is kept. If a setting is invalid,
// Change returns an error that names it and changes nothing.
func (c *Controller) Change(set Settings) error {
	if err := set.Validate(); err != nil {
		return err
	}
	c.applySettings(&set)
	return nil
}

// applySettings puts valid settings in force and recomputes what is derived from them.
func (c *Controller) applySettings(set *Settings) {
	c.settings, c.classes = set, make(map[string]*Class, len(set.Classes))
	c.maxDeadline, c.meanHolding, c.maxWorth = 0, 0, 0
	for i := range set.Classes {
		class := &set.Classes[i]
		c.classes[class.Name] = class
		c.maxDeadline = max(c.maxDeadline, class.Deadline)
		c.meanHolding += class.HoldingTime / time.Duration(len(set.Classes))
		c.maxWorth = max(c.maxWorth, class.Worth)
	}
	oldTenants := c.tenants
	c.tenants = make(map[string]*tenant, len(set.Tenants))
	for _, tenantSettings := range set.Tenants {
		c.tenants[tenantSettings.Name] = &tenant{Tenant: tenantSettings}
		if previous := oldTenants[tenantSettings.Name]; previous != nil {
			c.tenants[tenantSettings.Name].meter = previous.meter
		}
	}
}

// turnPhase returns the offset, from 0 to 1, at which the turns at a server that has just started begin. All proxies
// compute the same one. It differs between servers, so that no proxy has the last turn at every server.
func (s Server) turnPhase() float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, s.ID, s.Started)
	return float64(hash.Sum64()>>11) / (1 << 53)
}

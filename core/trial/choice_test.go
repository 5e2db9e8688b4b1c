package trial_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/trial"
	"pimentoseam/io/table"
)

// sampled returns one model of 13 at the design size: 315 of 4,100 replicas and 123 of 1,600 entries.
func sampled(way trial.LoadSource) trial.Balancing {
	const load = 0.85
	c := trial.Balancing{Source: way, Entries: 123, Replicas: 315, Slots: 16, Rate: 1000, SubsetSize: 8, HeartbeatInterval: 500 * time.Millisecond, Candidates: 2}
	c.ServiceTime = time.Duration(load * float64(c.Replicas*c.Slots) / c.Rate * float64(time.Second))
	return c
}

func TestTableChoice(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("choice", "13,000 requests/s over 1,600 entries before 4,100 replicas, one model of 13 sampled, load 0.85, 3 seeds",
		"way", "subset", "affinity", "fullest/mean", "wait p99 ms", "hits", "bytes/s")
	type point struct {
		name   string
		choice trial.Balancing
	}
	var points []point
	add := func(name string, change func(*trial.Balancing), way trial.LoadSource) {
		for _, affinity := range []bool{false, true} {
			c := sampled(way)
			c.HasAffinity = affinity
			change(&c)
			points = append(points, point{name, c})
		}
	}
	add("random of all", func(c *trial.Balancing) { c.SubsetSize, c.Candidates = 0, 1 }, trial.Random)
	add("least reported load", func(c *trial.Balancing) { c.SubsetSize, c.Candidates = 0, 0 }, trial.Reported)
	add("two choices, reports", func(c *trial.Balancing) { c.SubsetSize = 0 }, trial.Reported)
	add("two choices, piggyback, all", func(c *trial.Balancing) { c.SubsetSize = 0 }, trial.Piggyback)
	add("two choices, piggyback", func(*trial.Balancing) {}, trial.Piggyback)
	add("two choices, beats 0.5 s", func(*trial.Balancing) {}, trial.Heartbeats)
	add("least of subset, beats 0.5 s", func(c *trial.Balancing) { c.Candidates = 0 }, trial.Heartbeats)
	add("two choices, beats 2 s", func(c *trial.Balancing) { c.HeartbeatInterval = 2 * time.Second }, trial.Heartbeats)
	add("two choices, beats 5 s", func(c *trial.Balancing) { c.HeartbeatInterval = 5 * time.Second }, trial.Heartbeats)
	add("probes, subset 8", func(*trial.Balancing) {}, trial.Probes)
	add("probes, subset 32", func(c *trial.Balancing) { c.SubsetSize = 32 }, trial.Probes)
	homes := sampled(trial.PrefixProbes)
	homes.HasAffinity = true
	points = append(points, point{"probes of the prefix's homes", homes})
	results := make([][]*trial.BalancingResult, len(points))
	t.Run("runs", func(t *testing.T) {
		for i, p := range points {
			t.Run(fmt.Sprint(p.name, p.choice.HasAffinity), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 3; seed++ {
					p.choice.Seed = seed
					synctest.Test(t, func(*testing.T) { results[i] = append(results[i], p.choice.Run(45*time.Second)) })
				}
			})
		}
	})
	for i, p := range points {
		fullest := medianOf(results[i], func(s *trial.BalancingResult) float64 { return s.Imbalance })
		wait := medianOf(results[i], func(s *trial.BalancingResult) float64 { return float64(s.Wait.ValueAtQuantile(99)) / 1000 })
		hits := medianOf(results[i], func(s *trial.BalancingResult) float64 { return s.HitRate })
		tab.Add(p.name, fmt.Sprint(p.choice.SubsetSize), fmt.Sprint(p.choice.HasAffinity), table.Float(fullest, 2),
			table.Float(wait, 0), table.Float(hits, 3), table.Float(results[i][0].BytesPerSecond, 0))
	}
	save(t, tab, dir, "", "")
}

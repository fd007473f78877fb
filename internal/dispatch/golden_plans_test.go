package dispatch_test

import "gatetack/internal/dispatch"

// goldenBase returns the settings of a small site: a class of each retry safety and deduplication scope, and three
// tenants with quotas.
func goldenBase(node, nodes int) dispatch.Settings {
	return dispatch.Settings{
		Node: node, Nodes: nodes, Zone: node % 3, MinStepInterval: 1,
		Classes: []dispatch.Class{
			{
				Objective:        300,
				ObjectivePerWork: 2,
				Deadline:         2500,
				PriorityWeight:   1,
				RetrySafety:      dispatch.Idempotent,
				Kind:             -1,
			},
			{
				Objective:        400,
				ObjectivePerWork: 1,
				Deadline:         3000,
				PriorityWeight:   2,
				RetrySafety:      dispatch.Keyed,
				DedupScope:       dispatch.ScopeCell,
				DedupWindow:      2000,
				Kind:             -1,
			},
			{
				Objective:        500,
				ObjectivePerWork: 2,
				Deadline:         2500,
				PriorityWeight:   1,
				RetrySafety:      dispatch.AtMostOnce,
				Kind:             -1,
			},
			{
				Objective:      300,
				Deadline:       2000,
				PriorityWeight: 0.5,
				RetrySafety:    dispatch.Keyed,
				DedupScope:     dispatch.ScopeZone,
				DedupWindow:    1500,
				Kind:           1,
			},
			{
				Objective:      600,
				Deadline:       4000,
				PriorityWeight: 1.5,
				RetrySafety:    dispatch.Keyed,
				DedupScope:     dispatch.ScopeAll,
				DedupWindow:    2500,
				Kind:           -1,
			},
		},
		Tenants: []dispatch.Tenant{
			{ReservedShare: 0.5, Quota: 60},
			{ReservedShare: 0.3, Quota: 30},
			{ReservedShare: 0.2, Quota: 15},
		},
		Telemetry: dispatch.ReportAnswers, ReportFields: []dispatch.ReportField{dispatch.FieldFree, dispatch.FieldPending},
		OverQuotaWeight: 0.3, ProgressInterval: 400, StartNotifications: true,
		MaxRetryAfter: 800, MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, GossipAllowed: true,
		MaxConcurrentStreams: 1, ConnIdleTimeout: 2000, ConnectTimeout: 100, AnswerSlack: 16, MaxPollInterval: 2000,
		DrainGrace: 300, OverloadMultiple: 4, OverloadWindow: 800, SlowStartMinShare: 0.3, MaxSlowStartDuration: 3000,
		Fees: dispatch.Fees{CrossZone: 0.1, Handshake: 0.05, Origin: 0.2},
	}
}

// goldenPlans returns the runs: with few and many nodes, small and large fleets, and each kind of reports, gossip and
// lists.
func goldenPlans() []goldenPlan { //nolint:funlen // a table
	return []goldenPlan{
		{name: "gossip", seed: 11, nodes: 3, executors: 10, duration: 12000, rate: 60, workHintShare: 0.7, faults: 1,
			memory:     true,
			zonePrices: true, streams: true, settingsUpdates: true, settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 3)
				s.PollsList = true
				s.ReportFields = []dispatch.ReportField{dispatch.FieldFree, dispatch.FieldPending, dispatch.FieldMemory}
				return s
			}},
		{name: "alone", seed: 12, nodes: 1, executors: 6, duration: 15000, rate: 65, workHintShare: 0.5, faults: 1, keys: 40,
			streams: true, settingsUpdates: true, settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 1)
				s.GossipAllowed, s.PollsList, s.WeightByWork, s.MaxConcurrentStreams = false, true, true, 3
				s.ReportFields = []dispatch.ReportField{dispatch.FieldBusy, dispatch.FieldLatency, dispatch.FieldErrors,
					dispatch.FieldServed}
				return s
			}},
		{name: "aggregator", seed: 13, nodes: 40, executors: 60, duration: 4500, rate: 260, workHintShare: 0.8, faults: 2,
			memory: true, settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 40)
				s.PollsList = true
				for i := range s.Tenants {
					s.Tenants[i].Quota *= 1.5
				}
				return s
			}},
		{name: "aggregator-small-fleet", seed: 14, nodes: 40, executors: 16, duration: 4000, rate: 90, workHintShare: 0.8,
			faults: 1,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 40)
				s.ProgressInterval, s.CancelAllowed = 0, false
				return s
			}},
		{name: "probes", seed: 15, nodes: 4, executors: 12, duration: 9000, rate: 70, workHintShare: 0.6, faults: 1, keys: 25,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 4)
				s.Telemetry, s.HealthChecksAllowed, s.StartNotifications, s.ProgressInterval =
					dispatch.ReportHealthChecks, true, false, 0
				s.ReportFields = []dispatch.ReportField{dispatch.FieldUtil, dispatch.FieldPending, dispatch.FieldOther}
				return s
			}},
		{name: "probes-large-fleet", seed: 16, nodes: 120, executors: 150, duration: 2200, rate: 600, workHintShare: 0.6,
			faults: 2,
			keys:   60, settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 120)
				s.Telemetry, s.HealthChecksAllowed, s.PollsList = dispatch.ReportHealthChecks, true, true
				s.Tenants = nil
				return s
			}},
		{
			name:          "live-weights",
			seed:          17,
			nodes:         12,
			executors:     40,
			duration:      5000,
			rate:          180,
			workHintShare: 0.5,
			faults:        1,
			keys:          80,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 12)
				s.LiveWeights, s.PollsList, s.GossipAllowed = true, true, false
				s.ReportFields = []dispatch.ReportField{dispatch.FieldBusy}
				return s
			},
		},
		{name: "no-reports", seed: 18, nodes: 5, executors: 9, duration: 9000, rate: 70, workHintShare: 0.4, faults: 1.5,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 5)
				s.Telemetry, s.ReportFields, s.StartNotifications, s.ProgressInterval = dispatch.ReportNone, nil, false, 0
				s.GossipAllowed, s.HedgingAllowed, s.CancelAllowed, s.Tenants = false, false, false, nil
				s.MaxSlowStartDuration = 0
				return s
			}},
		{
			name:          "overload",
			seed:          19,
			nodes:         30,
			executors:     30,
			duration:      3500,
			rate:          500,
			workHintShare: 1,
			faults:        0.5,
			memory:        true,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 30)
				s.GossipAllowed = false
				s.ReportFields = []dispatch.ReportField{dispatch.FieldFree, dispatch.FieldBusy, dispatch.FieldMemory}
				for i := range s.Tenants {
					s.Tenants[i].Quota *= 3
				}
				return s
			},
		},
		{name: "many-keys", seed: 20, nodes: 1, executors: 6, duration: 8000, rate: 400, workHintShare: 1, faults: 0.1,
			keys: 90,
			settings: func(node int) dispatch.Settings {
				s := goldenBase(node, 1)
				s.GossipAllowed = false
				return s
			}},
	}
}

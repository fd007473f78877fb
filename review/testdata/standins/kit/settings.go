package kit

// Tallinn is the settings of tallinn-tiles, as the wire's page shows them.
const Tallinn = `{"balancers":1,"me":0,"zone":0,"zones":["tallinn","tartu","parnu","narva"],"kinds":["type-a","type-b"],
"clients":{"marksRetry":false},"discovery":"subscribe","tier":0,"tiers":["render-fleet"],"step":4.0,
"weights":"rough","workload":"jobs","worthBy":"request","overShareWorth":0.2,
"telemetry":{"how":"piggyback","fields":["pending","x0"]},
"familyInfo":{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[2.0,2.0],"notes":"1 it has started, 2 share done",
 "progress":1000.0,"queueOrder":"fifo","reportX0":"free slots","tellsStart":true},
"fees":{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.02,"lateFail":0.025,"moves":0.0,"origin":0.0,
 "peer":0.01,"probe":0.002,"waste":0.035},
"invariants":{"answerSlack":16.0,"askWithin":10000.0,"coldFrom":0.3,"drainGrace":500.0,"fall":2000.0,"fallMultiple":2.5,"warmWithin":8400.0},
"limits":{"cancelling":true,"connIdle":60000.0,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"maxAttempts":3,
 "maxOpen":20000,"maxRetryAfter":2000.0,"mayDuplicate":true,"multiplex":1,"peers":false,"probing":true,"retryAfter":true},
"requestClasses":[
 {"name":"tile-charge","aim":400.0,"deadline":7500.0,"dedupScope":"all","effect":"single_shot","lateWorth":0.0,"streaming":false,"window":5000.0,"worth":8.0},
 {"name":"area-render","aim":1500.0,"deadline":25000.0,"dedupScope":"cell","effect":"guarded","lateWorth":0.0,"streaming":false,"window":40000.0,"worth":24.0}],
"scoringMix":{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3},
"tenants":[{"name":"pohjakaart","portion":0.3,"quotaRps":8.0},{"name":"maavaade","portion":0.26,"quotaRps":7.0},
 {"name":"pilvepilt","portion":0.23,"quotaRps":6.0},{"name":"rannakaart","portion":0.21,"quotaRps":5.0}]}`

// Austin is the settings of austin-flags, with the figures of its site file.
const Austin = `{"balancers":2,"me":0,"zone":0,"zones":["austin-north","round-rock"],"kinds":["big-iron"],
"clients":{"marksRetry":true},"discovery":"subscribe","tier":0,"tiers":["flag-workers"],"step":4.0,
"weights":"nominal","workload":"jobs","worthBy":"work","overShareWorth":0.1,
"telemetry":{"how":"piggyback","fields":["failed_ps","served_ps","pending","x0"]},
"familyInfo":{"classKind":[-1,-1,-1],"classPriority":[0,0,1],"classStretch":[2.5,2.5,2.5],"notes":"1 it has started, 2 share done",
 "progress":2000.0,"queueOrder":"fifo","reportX0":"free slots","tellsStart":true},
"fees":{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.02,"lateFail":0.065,"moves":0.0,"origin":0.0,
 "peer":0.0,"probe":0.0,"waste":0.045},
"invariants":{"answerSlack":16.0,"askWithin":10000.0,"coldFrom":0.3,"drainGrace":250.0,"fall":2000.0,"fallMultiple":3.0,"warmWithin":8100.0},
"limits":{"cancelling":true,"connIdle":60000.0,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,"maxAttempts":5,
 "maxOpen":20000,"maxRetryAfter":2000.0,"mayDuplicate":false,"multiplex":1,"peers":false,"probing":false,"retryAfter":false},
"requestClasses":[
 {"name":"flag-lookup","aim":400.0,"deadline":10000.0,"dedupScope":"all","effect":"free","lateWorth":0.2,"streaming":false,"window":5000.0,"worth":3.0},
 {"name":"flag-toggle","aim":400.0,"deadline":5000.0,"dedupScope":"all","effect":"single_shot","lateWorth":0.25,"streaming":false,"window":5000.0,"worth":3.0},
 {"name":"snapshot-build","aim":1500.0,"deadline":25000.0,"dedupScope":"all","effect":"guarded","lateWorth":0.5,"streaming":false,"window":40000.0,"worth":5.0}],
"scoringMix":{"whole":0.35,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.45},
"tenants":[{"name":"pecan-retail","portion":0.27,"quotaRps":8.0},{"name":"lonestar-pay","portion":0.26,"quotaRps":8.0},
 {"name":"bluebonnet-apps","portion":0.16,"quotaRps":5.0},{"name":"gulf-freight","portion":0.16,"quotaRps":5.0},
 {"name":"hillcountry-bank","portion":0.06,"quotaRps":2.0},{"name":"mesquite-games","portion":0.05,"quotaRps":2.0},
 {"name":"caddo-clinics","portion":0.04,"quotaRps":2.0}]}`

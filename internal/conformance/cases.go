package conformance

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/batch"
	"gatetack/internal/http1"
)

// Cases are all, in their order. Numbers stay: new ones go to the end of their group.
func Cases() []Case {
	var all []Case
	group := 0
	begin := func() { group += 100; all = append(all, Case{Number: -1}) }
	n := 0
	add := func(section, title string, run func(*T) error) {
		if all[len(all)-1].Number < 0 {
			all, n = all[:len(all)-1], group
		}
		n++
		all = append(all, Case{n, section, title, run})
	}
	expect := func(section, title, verb, path, body string, status int, code, field string) {
		add(section, title, func(t *T) error {
			_, err := t.want(verb, t.fill(path), t.fill(body), status, code, field)
			return err
		})
	}

	begin() // 100: the session manager
	for _, name := range []string{"drmsName", "drmsVersion", "drmaaName", "drmaaVersion", "contact"} {
		add("GFD.194 7.1", "the manager tells its "+name, func(t *T) error {
			v, err := t.want("GET", "/manager", "", 200, "", "")
			if err == nil && v.Get(name).String() == "" {
				err = fmt.Errorf("no %s in %s", name, v.Raw)
			}
			return err
		})
	}
	for _, name := range []string{"ADVANCE_RESERVATION", "RESERVE_SLOTS", "CALLBACK", "BULK_JOBS_MAXPARALLEL", "JT_EMAIL", "JT_STAGING",
		"JT_DEADLINE", "JT_MAXSLOTS", "JT_ACCOUNTINGID", "RT_STARTNOW", "RT_DURATION", "RT_MACHINEOS", "RT_MACHINEARCH"} {
		add("GFD.194 4.5", "supports("+name+") is told, and the manager's page agrees", func(t *T) error {
			v, err := t.want("GET", "/manager/supports/"+name, "", 200, "", "")
			if err != nil {
				return err
			}
			all, err := t.want("GET", "/manager", "", 200, "", "")
			if err == nil && (v.Get("supported").Type != gjson.True && v.Get("supported").Type != gjson.False ||
				v.Get("supported").Bool() != all.Get("capabilities."+name).Bool()) {
				err = fmt.Errorf("%s and %s", v.Raw, all.Raw)
			}
			return err
		})
	}
	expect("GFD.194 4.5", "a capability that DRMAAv2 does not have", "GET", "/manager/supports/FLYING", "", 400, "INVALID_ARGUMENT", "capability")
	expect("GFD.194 7.1", "reservation sessions are refused as an unsupported operation", "GET", "/reservations", "", 501, "UNSUPPORTED_OPERATION", "")
	expect("GFD.194 9.1", "so are reservations in monitoring", "GET", "/monitoring/reservations", "", 501, "UNSUPPORTED_OPERATION", "")
	expect("RFC 9110 9.1", "the manager is only read", "POST", "/manager", "{}", 405, "UNSUPPORTED_OPERATION", "")

	begin() // 200: job sessions
	add("GFD.194 7.1.5", "a session is created, listed, told, and destroyed", func(t *T) error {
		name := t.name("a")
		v, err := t.want("POST", "/sessions", `{"sessionName":"`+name+`"}`, 201, "", "")
		if err != nil {
			return err
		}
		if v.Get("instance").String() == "" {
			return fmt.Errorf("no instance in %s", v.Raw)
		}
		list, err := t.want("GET", "/sessions", "", 200, "", "")
		if err != nil || !strings.Contains(list.Raw, strconv.Quote(name)) {
			return unexpected(err, list)
		}
		if v, err := t.want("GET", "/sessions/"+name, "", 200, "", ""); err != nil || is(v, "sessionName", name) != nil {
			return unexpected(err, v)
		}
		if _, err = t.want("DELETE", "/sessions/"+name, "", 409, "INVALID_STATE", ""); err != nil {
			return err
		}
		if err = t.closeSession(name, v.Get("instance").String(), 200); err != nil {
			return err
		}
		if _, err = t.want("DELETE", "/sessions/"+name, "", 204, "", ""); err != nil {
			return err
		}
		_, err = t.want("GET", "/sessions/"+name, "", 404, "INVALID_SESSION", "sessionName")
		return err
	})
	add("GFD.194 7.1.5", "a name that is taken is refused", func(t *T) error {
		_, err := t.want("POST", "/sessions", `{"sessionName":"`+t.session+`"}`, 409, "INVALID_ARGUMENT", "sessionName")
		return err
	})
	add("GFD.194 7.1.6", "two clients open one session, and each closes its own instance", func(t *T) error {
		name := t.name("b")
		a, err := t.want("POST", "/sessions", `{"sessionName":"`+name+`"}`, 201, "", "")
		if err != nil {
			return err
		}
		b, err := t.want("POST", "/sessions/"+name+"/open", "{}", 200, "", "")
		if err != nil {
			return err
		}
		ia, ib := a.Get("instance").String(), b.Get("instance").String()
		if ia == ib {
			return fmt.Errorf("both have the instance %s", ia)
		}
		if err := t.closeSession(name, ia, 200); err != nil {
			return err
		}
		if m, v, err := t.call("GET", "/sessions/"+name+"/jobs", "", http1.Field{Name: "X-Session-Instance", Value: ib}); err != nil || m.Status != 200 {
			return fmt.Errorf("the other instance: %w", unexpected(err, v))
		}
		if m, v, err := t.call("GET", "/sessions/"+name+"/jobs", "", http1.Field{Name: "X-Session-Instance", Value: ia}); err != nil ||
			m.Status != 409 || is(v, "error", "INVALID_SESSION") != nil {
			return fmt.Errorf("the closed instance: %w", unexpected(err, v))
		}
		if err := t.closeSession(name, ia, 409); err != nil {
			return err
		}
		return t.closeSession(name, ib, 200)
	})
	for _, bad := range []struct{ what, body, field string }{{"no name", `{}`, "sessionName"}, {"an empty name", `{"sessionName":""}`, "sessionName"},
		{"a name with a blank", `{"sessionName":"a b"}`, "sessionName"}, {"a name with a slash", `{"sessionName":"a/b"}`, "sessionName"},
		{"a name that is a number", `{"sessionName":7}`, "sessionName"}, {"a name of 65 characters", `{"sessionName":"` + strings.Repeat("n", 65) + `"}`, "sessionName"},
		{"a control character", `{"sessionName":"a\u0007"}`, "sessionName"}, {"another node's contact", `{"sessionName":"x","contact":"elsewhere"}`, "contact"},
		{"an argument that there is not", `{"sessionName":"x","colour":"red"}`, "colour"}, {"a list", `[]`, "body"}, {"half an object", `{"sessionName":`, "body"}} {
		expect("GFD.194 7.1.5", "creating a session with "+bad.what, "POST", "/sessions", bad.body, 400, "INVALID_ARGUMENT", bad.field)
	}
	expect("GFD.194 7.1.6", "opening a session that there is not", "POST", "/sessions/nowhere/open", "{}", 404, "INVALID_SESSION", "")
	expect("GFD.194 7.1.8", "destroying one that there is not", "DELETE", "/sessions/nowhere", "", 404, "INVALID_SESSION", "")
	expect("docs/batch.md", "the default session stays", "DELETE", "/sessions/default", "", 409, "INVALID_SESSION", "")
	expect("GFD.194 8.2", "jobs of a session that there is not", "GET", "/sessions/nowhere/jobs", "", 404, "INVALID_SESSION", "")
	expect("GFD.194 8.2", "a submission to one that there is not", "POST", "/sessions/nowhere/jobs", "{good}", 404, "INVALID_SESSION", "")
	expect("RFC 9110 9.1", "sessions are opened by POST", "GET", "/sessions/{session}/open", "", 405, "UNSUPPORTED_OPERATION", "")
	add("GFD.194 7.1.8", "a session with a job that has not ended is not destroyed", func(t *T) error {
		name := t.name("c")
		s, err := t.want("POST", "/sessions", `{"sessionName":"`+name+`"}`, 201, "", "")
		if err != nil {
			return err
		}
		if err := t.closeSession(name, s.Get("instance").String(), 200); err != nil {
			return err
		}
		v, err := t.want("POST", "/sessions/"+name+"/jobs", t.template(`"submitAsHold":true`), 201, "", "")
		if err != nil {
			return err
		}
		if _, err := t.want("DELETE", "/sessions/"+name, "", 409, "INVALID_STATE", ""); err != nil {
			return err
		}
		if _, err := t.want("DELETE", "/sessions/"+name+"/jobs/"+v.Get("jobId").String(), "", 200, "", ""); err != nil {
			return err
		}
		_, err = t.want("DELETE", "/sessions/"+name, "", 204, "", "")
		return err
	})
	for _, call := range []struct{ what, verb, path string }{{"told", "GET", ""}, {"terminated", "DELETE", ""}, {"held", "POST", "/hold"},
		{"released", "POST", "/release"}, {"reaped", "POST", "/reap"}, {"waited for", "GET", "/wait?timeoutMs=1"}, {"asked for its template", "GET", "/template"}} {
		add("GFD.194 8.2", "a job is not "+call.what+" through another session", func(t *T) error {
			name := t.name("d")
			if _, err := t.want("POST", "/sessions", `{"sessionName":"`+name+`"}`, 201, "", ""); err != nil {
				return err
			}
			id, _, err := t.submit(`"submitAsHold":true`)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
			_, err = t.want(call.verb, "/sessions/"+name+"/jobs/"+id+call.path, "", 404, "INVALID_ARGUMENT", "jobId")
			return err
		})
	}

	begin() // 300: job templates
	for _, x := range []struct{ name, value string }{{"jobName", `"a name"`}, {"payload", `"scene"`}, {"minSlots", "1"}, {"maxSlots", "1"},
		{"minPhysMemory", "1"}, {"priority", "-3"}, {"priority", "1024"}, {"submitAsHold", "true"}, {"args", `["a b","c&d"]`}, {"args", `[]`},
		{"startTime", `"{later}"`}, {"deadlineTime", `"{soon}"`}, {"remoteCommand", `"/{category}/cut?z=3"`}, {"remoteCommand", `"/{category}"`},
		{"idempotencyKey", `"{unique}"`}} {
		add("GFD.194 5.6", "a template with "+x.name+" "+x.value+" is taken, and given back", func(t *T) error {
			more := t.fill(`"` + x.name + `":` + x.value)
			if x.name != "submitAsHold" {
				more += `,"submitAsHold":true`
			}
			id, _, err := t.submit(more)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
			v, err := t.want("GET", t.s("/jobs/"+id+"/template"), "", 200, "", "")
			if want := gjson.Get("{"+more+"}", x.name).Raw; err == nil && v.Get(x.name).Raw != want {
				err = fmt.Errorf("%s, want %s of it to be %s", v.Raw, x.name, want)
			}
			return err
		})
	}
	for _, name := range []string{"jobEnvironment", "workingDirectory", "email", "emailOnStarted", "emailOnTerminated", "inputPath", "outputPath",
		"errorPath", "joinFiles", "stageInFiles", "stageOutFiles", "reservationId", "queueName", "candidateMachines", "machineOS", "machineArch", "resourceLimits"} {
		expect("GFD.194 5.6", "a template with "+name+" is refused by its name", "POST", "/sessions/{session}/jobs", `{with:"`+name+`":"x"}`, 400, "UNSUPPORTED_ATTRIBUTE", name)
	}
	for _, x := range []struct{ name, value string }{{"jobName", "7"}, {"jobName", `"` + strings.Repeat("n", 257) + `"`}, {"jobCategory", `"nothing"`},
		{"accountingId", `"nobody at all"`}, {"accountingId", "null"}, {"payload", "{}"}, {"minSlots", "0"}, {"minSlots", "1.5"}, {"minSlots", `"1"`},
		{"maxSlots", "-1"}, {"maxSlots", "99999"}, {"minPhysMemory", "0"}, {"priority", "1025"}, {"priority", "0.5"}, {"priority", `"high"`},
		{"submitAsHold", "1"}, {"submitAsHold", `"true"`}, {"rerunnable", `"yes"`}, {"args", `"a"`}, {"args", "[1]"}, {"startTime", `"tomorrow"`},
		{"startTime", "5"}, {"startTime", `"2999-01-01T00:00:00Z"`}, {"deadlineTime", `"2001-01-01T00:00:00Z"`}, {"deadlineTime", `"2999-01-01T00:00:00Z"`},
		{"deadlineTime", `""`}, {"remoteCommand", `"/elsewhere"`}, {"remoteCommand", `""`}, {"remoteCommand", `"{category}"`},
		{"remoteCommand", `"/{category} HTTP/1.1\r\nX: y"`}, {"remoteCommand", `"/{category}x"`}, {"idempotencyKey", `""`}, {"idempotencyKey", `"a b"`},
		{"idempotencyKey", `"` + strings.Repeat("k", 257) + `"`}, {"colour", `"red"`}, {"JobName", `"case"`}} {
		expect("GFD.194 5.6", "a template with "+x.name+" "+short(x.value)+" is refused by its name", "POST", "/sessions/{session}/jobs",
			`{with:"`+x.name+`":`+x.value+`}`, 400, "INVALID_ARGUMENT", x.name)
	}
	expect("GFD.194 5.6", "minSlots and maxSlots that differ", "POST", "/jobs", `{with:"minSlots":2,"maxSlots":3}`, 400, "INVALID_ARGUMENT", "maxSlots")
	expect("GFD.194 5.6", "a deadline before the start", "POST", "/jobs", `{with:"startTime":"{later}","deadlineTime":"{soon}"}`, 400, "INVALID_ARGUMENT", "deadlineTime")
	expect("GFD.194 5.6", "args beside a command with a query", "POST", "/jobs", `{with:"remoteCommand":"/{category}?a=b","args":["c"]}`, 400, "INVALID_ARGUMENT", "args")
	expect("GFD.194 5.6", "an attribute given twice", "POST", "/jobs", `{with:"payload":"a","payload":"b"}`, 400, "INVALID_ARGUMENT", "payload")
	expect("GFD.194 5.6", "no category", "POST", "/jobs", `{"payload":"x"}`, 400, "INVALID_ARGUMENT", "jobCategory")
	add("GFD.194 5.6", "rerunnable agrees with the category, or is refused", func(t *T) error {
		q, err := t.want("GET", "/monitoring/queues", "", 200, "", "")
		if err != nil {
			return err
		}
		effect := q.Get(`queues.#(name=="` + t.category + `").effect`).String()
		m, v, err := t.call("POST", t.s("/jobs"), t.template(`"submitAsHold":true,"rerunnable":true`))
		if err != nil {
			return err
		}
		if want := map[bool]int{true: 400, false: 201}[effect == "single_shot"]; m.Status != want {
			return fmt.Errorf("status %d for a %s category: %s", m.Status, effect, v.Raw)
		}
		return nil
	})

	begin() // 400: jobs
	add("GFD.194 8.3", "a job runs to DONE, with its exit status, result, times and machine", func(t *T) error {
		v, err := t.served(`"jobName":"conform","payload":"scene"`)
		if err != nil {
			return err
		}
		for path, want := range map[string]string{"exitStatus": "0", "jobName": "conform", "jobCategory": t.category, "sessionName": t.session, "accountingId": t.account} {
			if err := is(v, path, want); err != nil {
				return err
			}
		}
		sub, dis, fin := v.Get("submissionTime").Time(), v.Get("dispatchTime").Time(), v.Get("finishTime").Time()
		if sub.IsZero() || dis.Before(sub) || fin.Before(dis) || !v.Get("result").Exists() || len(v.Get("allocatedMachines").Array()) != 1 {
			return fmt.Errorf("%s", v.Raw)
		}
		return nil
	})
	add("GFD.194 8.3.9", "getState agrees with getInfo once a job has ended", func(t *T) error {
		v, err := t.served("")
		if err != nil {
			return err
		}
		s, err := t.want("GET", t.s("/jobs/"+v.Get("jobId").String()+"/state"), "", 200, "", "")
		if err == nil {
			err = is(s, "jobState", "DONE")
		}
		return err
	})
	add("GFD.194 8.3.12", "waitStarted comes back once a job has started or ended", func(t *T) error {
		id, _, err := t.submit("")
		if err != nil {
			return err
		}
		v, err := t.want("GET", t.s("/jobs/"+id+"/wait?for=started&timeoutMs=15000"), "", 200, "", "")
		if err == nil {
			err = in(v, "jobState", "RUNNING", "DONE", "FAILED")
		}
		return err
	})
	add("GFD.194 8.3.12", "a wait that is over in vain says TIMEOUT and the state", func(t *T) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
		v, err := t.want("GET", t.s("/jobs/"+id+"/wait?timeoutMs=20"), "", 504, "TIMEOUT", "")
		if err == nil {
			err = is(v, "jobState", "QUEUED_HELD")
		}
		return err
	})
	add("GFD.194 8.2.11", "waitAnyTerminated gives the one of many that has ended", func(t *T) error {
		held, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+held), "") }()
		runs, _, err := t.submit("")
		if err != nil {
			return err
		}
		v, err := t.want("POST", t.s("/jobs/wait"), `{"jobs":["`+held+`","`+runs+`"],"timeoutMs":15000}`, 200, "", "")
		if err == nil {
			err = is(v, "jobId", runs)
		}
		return err
	})
	add("GFD.194 8.2.11", "waitAny of jobs none of which ends says TIMEOUT", func(t *T) error {
		held, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+held), "") }()
		_, err = t.want("POST", t.s("/jobs/wait"), `{"jobs":["`+held+`"],"for":"started","timeoutMs":20}`, 504, "TIMEOUT", "")
		return err
	})
	for _, x := range []struct{ what, body, field string }{{"no list", `{}`, "jobs"}, {"an empty list", `{"jobs":[]}`, "jobs"}, {"a number in it", `{"jobs":[1]}`, "jobs"},
		{"a list of 1,001", `{"jobs":[` + strings.Repeat(`"x",`, 1000) + `"x"]}`, "jobs"}, {"neither start nor end", `{"jobs":["x"],"for":"tea"}`, "for"}, {"no JSON", `{`, "body"}} {
		expect("GFD.194 8.2.11", "waitAny with "+x.what, "POST", "/sessions/{session}/jobs/wait", x.body, 400, "INVALID_ARGUMENT", x.field)
	}
	expect("GFD.194 8.2.11", "waitAny of a job that there is not", "POST", "/sessions/{session}/jobs/wait", `{"jobs":["n.1.1x"]}`, 404, "INVALID_ARGUMENT", "jobId")
	for _, bad := range []string{"for=tea", "timeoutMs=-1", "timeoutMs=1.5", "timeoutMs=x"} {
		add("GFD.194 8.3.12", "a wait with "+bad, func(t *T) error {
			id, _, err := t.submit(`"submitAsHold":true`)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
			name, _, _ := strings.Cut(bad, "=")
			_, err = t.want("GET", t.s("/jobs/"+id+"/wait?"+bad), "", 400, "INVALID_ARGUMENT", name)
			return err
		})
	}
	add("GFD.194 8.3.4", "a held job waits until it is released, and then runs", func(t *T) error {
		id, v, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		if err := is(v, "jobState", "QUEUED_HELD"); err != nil {
			return err
		}
		if _, err = t.want("POST", t.s("/jobs/"+id+"/release"), "{}", 200, "", ""); err != nil {
			return err
		}
		if v, err = t.end(id); err == nil {
			err = is(v, "jobState", "DONE")
		}
		return err
	})
	add("GFD.194 8.3.3", "a job that waits for its time is held and released", func(t *T) error {
		id, v, err := t.submit(t.fill(`"startTime":"{later}"`))
		if err != nil {
			return err
		}
		if err := is(v, "jobState", "QUEUED"); err != nil {
			return err
		}
		if v, err = t.want("POST", t.s("/jobs/"+id+"/hold"), "{}", 200, "", ""); err != nil || is(v, "jobState", "QUEUED_HELD") != nil {
			return unexpected(err, v)
		}
		if v, err = t.want("POST", t.s("/jobs/"+id+"/release"), "{}", 200, "", ""); err != nil || is(v, "jobState", "QUEUED") != nil {
			return unexpected(err, v)
		}
		_, err = t.want("DELETE", t.s("/jobs/"+id), "", 200, "", "")
		return err
	})
	add("GFD.194 8.3.4", "a job that is not on hold is not released", func(t *T) error {
		id, _, err := t.submit(t.fill(`"startTime":"{later}"`))
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
		_, err = t.want("POST", t.s("/jobs/"+id+"/release"), "{}", 409, "INVALID_STATE", "")
		return err
	})
	add("GFD.194 8.3.3", "a job that has ended is not held", func(t *T) error {
		v, err := t.served("")
		if err == nil {
			_, err = t.want("POST", t.s("/jobs/"+v.Get("jobId").String()+"/hold"), "{}", 409, "INVALID_STATE", "")
		}
		return err
	})
	add("GFD.194 5.6.12", "a job with a start time does not begin before it", func(t *T) error {
		at := time.Now().Add(700 * time.Millisecond)
		id, _, err := t.submit(`"startTime":"` + at.Format(time.RFC3339Nano) + `"`)
		if err != nil {
			return err
		}
		v, err := t.end(id)
		if err == nil && (v.Get("jobState").String() != "DONE" || v.Get("dispatchTime").Time().Before(at)) {
			err = fmt.Errorf("to start at %v: %s", at, v.Raw)
		}
		return err
	})
	add("GFD.194 8.3.5", "a job that waits is terminated: FAILED, and that again is refused", func(t *T) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		v, err := t.want("POST", t.s("/jobs/"+id+"/terminate"), "{}", 200, "", "")
		if err != nil {
			return err
		}
		if err := is(v, "jobState", "FAILED"); err != nil {
			return err
		}
		if err := is(v, "jobSubState", "terminated"); err != nil {
			return err
		}
		_, err = t.want("DELETE", t.s("/jobs/"+id), "", 409, "INVALID_STATE", "")
		return err
	})
	add("docs/batch.md", "terminating a job at a box is not reported as if it had stopped: its result still comes", func(t *T) error {
		id, _, err := t.submit("")
		if err != nil {
			return err
		}
		if _, err := t.want("GET", t.s("/jobs/"+id+"/wait?for=started&timeoutMs=15000"), "", 200, "", ""); err != nil {
			return err
		}
		v, err := t.want("DELETE", t.s("/jobs/"+id), "", 409, "INVALID_STATE", "")
		if err != nil {
			return err
		}
		if err := in(v, "jobState", "RUNNING", "DONE", "FAILED"); err != nil {
			return err
		}
		end, err := t.end(id)
		if err == nil && end.Get("jobSubState").String() == "terminated" {
			err = fmt.Errorf("it counts as terminated: %s", end.Raw)
		}
		return err
	})
	for _, call := range []string{"suspend", "resume"} {
		add("GFD.194 8.3.1", call+" is refused: nothing stops a job at a box", func(t *T) error {
			id, _, err := t.submit(`"submitAsHold":true`)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
			_, err = t.want("POST", t.s("/jobs/"+id+"/"+call), "{}", 501, "UNSUPPORTED_OPERATION", "")
			return err
		})
	}
	add("GFD.194 8.3.6", "a job that has ended is reaped, and not known after it", func(t *T) error {
		v, err := t.served("")
		if err != nil {
			return err
		}
		id := v.Get("jobId").String()
		if _, err := t.want("POST", t.s("/jobs/"+id+"/reap"), "{}", 204, "", ""); err != nil {
			return err
		}
		list, err := t.want("GET", t.s("/jobs?filter="+escaped(`id = "`+id+`"`)), "", 200, "", "")
		if err == nil && len(list.Get("jobs").Array()) != 0 {
			err = fmt.Errorf("it is still listed: %s", list.Raw)
		}
		return err
	})
	add("GFD.194 8.3.6", "a job that has not ended is not reaped", func(t *T) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
		_, err = t.want("POST", t.s("/jobs/"+id+"/reap"), "{}", 409, "INVALID_STATE", "")
		return err
	})
	for _, bad := range []string{"x", "1", "n0.1", "n0.zz.1", "n0.1.0", "n0.1.1-", "n0.1.1-x", "n0.1.1-01", "%20", "n0.-1.1", strings.Repeat("n", 300) + ".1.1"} {
		expect("GFD.194 8.3", "an id that no node gives: "+short(bad), "GET", "/jobs/"+bad, "", 404, "INVALID_ARGUMENT", "jobId")
	}
	add("docs/batch.md", "a submission sent again under its key gives the first job back", func(t *T) error {
		key := `"idempotencyKey":"` + t.name("k") + `"`
		a, _, err := t.submit(key)
		if err != nil {
			return err
		}
		m, v, err := t.call("POST", t.s("/jobs"), t.template(key))
		if err != nil || m.Status != 200 || is(v, "jobId", a) != nil {
			return fmt.Errorf("status %v, want job %s: %w", m, a, unexpected(err, v))
		}
		return nil
	})
	add("docs/batch.md", "another template under the same key is refused", func(t *T) error {
		key := `"idempotencyKey":"` + t.name("k") + `"`
		if _, _, err := t.submit(key); err != nil {
			return err
		}
		_, err := t.want("POST", t.s("/jobs"), t.template(key+`,"payload":"other"`), 409, "INVALID_ARGUMENT", "idempotencyKey")
		return err
	})
	add("docs/batch.md", "the same key in another session is another job's", func(t *T) error {
		key := `"submitAsHold":true,"idempotencyKey":"` + t.name("k") + `"`
		a, _, err := t.submit(key)
		if err != nil {
			return err
		}
		v, err := t.want("POST", "/jobs", t.template(key), 201, "", "")
		if err == nil && v.Get("jobId").String() == a {
			err = fmt.Errorf("both are job %s", a)
		}
		return err
	})

	begin() // 500: job arrays
	bulk := func(t *T, args, more string) (gjson.Result, error) {
		return t.want("POST", t.s("/arrays"), `{"jobTemplate":`+t.template(more)+`,`+args+`}`, 201, "", "")
	}
	over := func(t *T, id string) (gjson.Result, error) {
		for range 600 {
			v, err := t.want("GET", t.s("/arrays/"+id), "", 200, "", "")
			if err != nil || v.Get("done").Int()+v.Get("failed").Int() >= v.Get("jobs").Int() {
				return v, err
			}
			t.pause(50 * time.Millisecond)
		}
		return gjson.Result{}, fmt.Errorf("array %s does not end", id)
	}
	add("GFD.194 8.2.7", "an array runs all of its members, whose indices stand in their payloads' place", func(t *T) error {
		v, err := bulk(t, `"beginIndex":2,"endIndex":8,"step":3`, `"payload":"part $PARAMETRIC_INDEX"`)
		if err != nil {
			return err
		}
		id := v.Get("jobArrayId").String()
		if err := is(v, "jobs", "3"); err != nil {
			return err
		}
		if v, err = over(t, id); err != nil {
			return err
		}
		if err := is(v, "done", "3"); err != nil {
			return err
		}
		for _, i := range []string{"2", "5", "8"} {
			m, err := t.want("GET", t.s("/jobs/"+id+"-"+i), "", 200, "", "")
			if err != nil {
				return err
			}
			if is(m, "jobArrayIndex", i) != nil || is(m, "jobState", "DONE") != nil || is(m, "jobArrayId", id) != nil {
				return fmt.Errorf("member %s: %s", i, m.Raw)
			}
		}
		return nil
	})
	add("GFD.194 8.2.7", "an index between steps names no member", func(t *T) error {
		v, err := bulk(t, `"beginIndex":2,"endIndex":8,"step":3`, `"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/arrays/"+v.Get("jobArrayId").String()), "") }()
		_, err = t.want("GET", t.s("/jobs/"+v.Get("jobArrayId").String()+"-3"), "", 404, "", "")
		if err != nil {
			var m gjson.Result
			m, err = t.want("GET", "/jobs/"+v.Get("jobArrayId").String()+"-3", "", 200, "", "")
			if err == nil {
				err = is(m, "jobState", "UNDETERMINED")
			}
		}
		return err
	})
	add("GFD.194 8.2.7", "no more than maxParallel members are out at a time", func(t *T) error {
		v, err := bulk(t, `"endIndex":12,"maxParallel":2`, "")
		if err != nil {
			return err
		}
		id := v.Get("jobArrayId").String()
		for range 400 {
			list, err := t.want("GET", t.s("/jobs?filter="+escaped(`array = "`+id+`" and not state in (DONE, FAILED)`)), "", 200, "", "")
			if err != nil {
				return err
			}
			if n := len(list.Get("jobs").Array()); n > 2 {
				return fmt.Errorf("%d members are out: %s", n, list.Raw)
			}
			if v, err = t.want("GET", t.s("/arrays/"+id), "", 200, "", ""); err != nil {
				return err
			}
			if v.Get("done").Int()+v.Get("failed").Int() == 12 {
				return is(v, "done", "12")
			}
			t.pause(30 * time.Millisecond)
		}
		return fmt.Errorf("it does not end: %s", v.Raw)
	})
	add("GFD.194 8.4", "an array is held, released, and runs", func(t *T) error {
		v, err := bulk(t, `"endIndex":3`, `"submitAsHold":true`)
		if err != nil {
			return err
		}
		id := v.Get("jobArrayId").String()
		if err := is(v, "jobState", "QUEUED_HELD"); err != nil {
			return err
		}
		if m, err := t.want("GET", t.s("/jobs/"+id+"-2"), "", 200, "", ""); err != nil || is(m, "jobState", "QUEUED_HELD") != nil {
			return unexpected(err, m)
		}
		if _, err := t.want("POST", t.s("/arrays/"+id+"/release"), "{}", 200, "", ""); err != nil {
			return err
		}
		if v, err = over(t, id); err == nil {
			err = is(v, "done", "3")
		}
		return err
	})
	add("GFD.194 8.4", "an array that waits is terminated, with all of its members", func(t *T) error {
		v, err := bulk(t, `"endIndex":1000`, `"submitAsHold":true`)
		if err != nil {
			return err
		}
		id := v.Get("jobArrayId").String()
		if v, err = t.want("DELETE", t.s("/arrays/"+id), "", 200, "", ""); err != nil {
			return err
		}
		if err := is(v, "failed", "1000"); err != nil {
			return err
		}
		m, err := t.want("GET", t.s("/jobs/"+id+"-777"), "", 200, "", "")
		if err == nil {
			err = is(m, "jobSubState", "terminated")
		}
		return err
	})
	add("GFD.194 8.4", "one member that waits is terminated, and the others run", func(t *T) error {
		v, err := bulk(t, `"endIndex":3`, `"submitAsHold":true`)
		if err != nil {
			return err
		}
		id := v.Get("jobArrayId").String()
		if _, err := t.want("DELETE", t.s("/jobs/"+id+"-2"), "", 200, "", ""); err != nil {
			return err
		}
		if _, err := t.want("POST", t.s("/arrays/"+id+"/release"), "{}", 200, "", ""); err != nil {
			return err
		}
		if v, err = over(t, id); err != nil {
			return err
		}
		if err := is(v, "done", "2"); err != nil {
			return err
		}
		return is(v, "failed", "1")
	})
	for _, call := range []string{"suspend", "resume"} {
		add("GFD.194 8.4", call+" of an array is refused", func(t *T) error {
			v, err := bulk(t, `"endIndex":2`, `"submitAsHold":true`)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/arrays/"+v.Get("jobArrayId").String()), "") }()
			_, err = t.want("POST", t.s("/arrays/"+v.Get("jobArrayId").String()+"/"+call), "{}", 501, "UNSUPPORTED_OPERATION", "")
			return err
		})
	}
	for _, x := range []struct{ what, body, code, field string }{{"no template", `{"endIndex":3}`, "", "jobTemplate"}, {"a bad template", `{"jobTemplate":{},"endIndex":3}`, "", "jobCategory"},
		{"no end", `{"jobTemplate":{good}}`, "", "endIndex"}, {"an end before its beginning", `{"jobTemplate":{good},"beginIndex":5,"endIndex":4}`, "", "endIndex"},
		{"a step of nothing", `{"jobTemplate":{good},"endIndex":4,"step":0}`, "", "step"}, {"a negative beginning", `{"jobTemplate":{good},"beginIndex":-1,"endIndex":4}`, "", "beginIndex"},
		{"half an index", `{"jobTemplate":{good},"endIndex":4.5}`, "", "endIndex"}, {"a negative maxParallel", `{"jobTemplate":{good},"endIndex":4,"maxParallel":-1}`, "", "maxParallel"},
		{"a million and more members", `{"jobTemplate":{good},"endIndex":99999999}`, "", "endIndex"}, {"an argument that there is not", `{"jobTemplate":{good},"endIndex":4,"colour":1}`, "", "colour"},
		{"a key", `{"jobTemplate":{with:"idempotencyKey":"k"},"endIndex":4}`, "UNSUPPORTED_ATTRIBUTE", "idempotencyKey"}, {"a list", `[]`, "", "body"}} {
		code := x.code
		if code == "" {
			code = "INVALID_ARGUMENT"
		}
		expect("GFD.194 8.2.7", "an array with "+x.what, "POST", "/sessions/{session}/arrays", x.body, 400, code, x.field)
	}
	expect("GFD.194 8.2.6", "an array that there is not", "GET", "/sessions/{session}/arrays/n0.1.77", "", 404, "INVALID_ARGUMENT", "jobArrayId")

	begin() // 600: lists and filters
	for _, filter := range []string{``, `state = DONE`, `state in (DONE, FAILED, QUEUED)`, `state not in (RUNNING)`, `not state = FAILED`, `category = "{category}"`,
		`category != 'nothing'`, `submitted > 1h ago`, `submitted > 2020-01-01`, `finished < 2999-01-01T00:00:00Z`, `age < 1d`, `wallclock >= 0s`, `priority >= -5 and priority <= 5`,
		`name ~ form or name = ""`, `(state = DONE or state = FAILED) and (submitted > 1h ago)`, `SESSION = "{session}"`, `state = done`, `machine ~ ""`} {
		add("docs/batch.md", "the filter "+strconv.Quote(filter)+" is taken", func(t *T) error {
			v, err := t.want("GET", t.s("/jobs?limit=5&filter="+escaped(t.fill(filter))), "", 200, "", "")
			if err == nil && !v.Get("jobs").IsArray() {
				err = fmt.Errorf("no list: %s", v.Raw)
			}
			return err
		})
	}
	for _, x := range []struct {
		filter string
		column int
	}{{"colour = red", 1}, {"state = ASLEEP", 9}, {"state > DONE", 9}, {"priority = high", 12}, {"submitted > yesterday", 13}, {"state = DONE and", 17}, {"state in ()", 11},
		{"(state = DONE", 14}, {"state = DONE)", 13}, {"age > 5", 7}, {"state == DONE", 8}, {"priority ~ 5", 12}, {"name = \"open", 8}, {strings.Repeat("(", 70) + "state = DONE", 65}} {
		add("docs/batch.md", "the filter "+short(strconv.Quote(x.filter))+" is refused, with the column", func(t *T) error {
			v, err := t.want("GET", t.s("/jobs?filter="+escaped(x.filter)), "", 400, "INVALID_ARGUMENT", "filter")
			if err == nil && !strings.Contains(v.Get("message").String(), fmt.Sprintf("column %d:", x.column)) {
				err = fmt.Errorf("%s, want column %d", v.Raw, x.column)
			}
			return err
		})
	}
	add("docs/batch.md", "pages of a list hold each job once, in order", func(t *T) error {
		want := map[string]bool{}
		for range 7 {
			id, _, err := t.submit(`"submitAsHold":true,"jobName":"paged"`)
			if err != nil {
				return err
			}
			defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
			want[id] = true
		}
		after, last := "", ""
		for range 50 {
			v, err := t.want("GET", t.s("/jobs?limit=2&after="+after+"&filter="+escaped("name = paged and state = QUEUED_HELD")), "", 200, "", "")
			if err != nil {
				return err
			}
			for _, j := range v.Get("jobs").Array() {
				id := j.Get("jobId").String()
				if !want[id] || len(v.Get("jobs").Array()) > 2 {
					return fmt.Errorf("job %s after %s in %s", id, last, v.Raw)
				}
				delete(want, id)
				last = id
			}
			if after = v.Get("next").String(); after == "" {
				break
			}
		}
		if len(want) > 0 {
			return fmt.Errorf("not listed: %v", want)
		}
		return nil
	})
	add("GFD.194 8.2.5", "a list of one state holds no other", func(t *T) error {
		v, err := t.want("GET", t.s("/jobs?jobState=DONE"), "", 200, "", "")
		for _, j := range v.Get("jobs").Array() {
			if err == nil {
				err = is(j, "jobState", "DONE")
			}
		}
		return err
	})
	for _, bad := range []string{"limit=0", "limit=x", "limit=100000", "jobState=ASLEEP", "after=nothing", "colour=red"} {
		name, _, _ := strings.Cut(bad, "=")
		expect("docs/batch.md", "a list with "+bad, "GET", "/sessions/{session}/jobs?"+bad, "", 400, "INVALID_ARGUMENT", name)
	}

	begin() // 700: monitoring and events
	add("GFD.194 9.1", "queues are the categories", func(t *T) error {
		v, err := t.want("GET", "/monitoring/queues", "", 200, "", "")
		if err == nil && !v.Get(`queues.#(name=="`+t.category+`")`).Exists() {
			err = fmt.Errorf("no queue %s in %s", t.category, v.Raw)
		}
		return err
	})
	add("GFD.194 9.1", "machines are told with their state", func(t *T) error {
		v, err := t.want("GET", "/monitoring/machines", "", 200, "", "")
		if err == nil && (len(v.Get("machines").Array()) == 0 || v.Get("machines.0.name").String() == "" || v.Get("machines.0.status").String() == "") {
			err = fmt.Errorf("%s", v.Raw)
		}
		return err
	})
	add("docs/batch.md", "machines are filtered", func(t *T) error {
		v, err := t.want("GET", "/monitoring/machines?filter="+escaped("status = ready and out > 99999"), "", 200, "", "")
		if err == nil && len(v.Get("machines").Array()) != 0 {
			err = fmt.Errorf("%s", v.Raw)
		}
		return err
	})
	expect("docs/batch.md", "a filter of machines by a job's field", "GET", "/monitoring/machines?filter=category+%3D+a", "", 400, "INVALID_ARGUMENT", "filter")
	add("GFD.194 9.1", "jobs of all sessions are seen in monitoring", func(t *T) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer func() { _, _, _ = t.call("DELETE", t.s("/jobs/"+id), "") }()
		v, err := t.want("GET", "/monitoring/jobs?filter="+escaped(`id = "`+id+`"`), "", 200, "", "")
		if err == nil {
			err = is(v, "jobs.0.sessionName", t.session)
		}
		return err
	})
	add("GFD.194 8.5", "a job's states are told in their order, from a cursor on, without a gap or a repeat", func(t *T) error {
		m, _, err := t.call("GET", t.s("/events?timeoutMs=1"), "")
		if err != nil {
			return err
		}
		after := m.Get("X-Cursor")
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		if _, err := t.want("DELETE", t.s("/jobs/"+id), "", 200, "", ""); err != nil {
			return err
		}
		var states []string
		for range 20 {
			m, _, err := t.call("GET", t.s("/events?timeoutMs=2000&jobId="+id+"&after="+after), "")
			if err != nil {
				return err
			}
			for line := range strings.Lines(string(m.Body)) {
				if line = strings.TrimSpace(line); line != "" {
					states = append(states, gjson.Get(line, "jobState").String())
				}
			}
			if after = m.Get("X-Cursor"); len(states) >= 2 {
				break
			}
		}
		if got := strings.Join(states, " "); got != "QUEUED_HELD FAILED" {
			return fmt.Errorf("told %q", got)
		}
		return nil
	})
	add("GFD.194 8.5", "a cursor of an earlier life is told that events are lost", func(t *T) error {
		m, v, err := t.call("GET", t.s("/events?timeoutMs=1&after=1.5"), "")
		if err == nil && (m.Status != 200 || v.Get("event").String() != "LOST" || v.Get("cursor").String() == "") {
			err = fmt.Errorf("%d %s", m.Status, m.Body)
		}
		return err
	})
	for _, bad := range []string{"x", "7fffffffffffffff.1", "1", "1.x"} {
		expect("docs/batch.md", "a cursor that no node gives: "+bad, "GET", "/sessions/{session}/events?after="+bad, "", 400, "INVALID_ARGUMENT", "after")
	}
	add("docs/batch.md", "the counts are numbers", func(t *T) error {
		v, err := t.want("GET", "/counts", "", 200, "", "")
		for _, name := range []string{"taken", "served", "refused", "failed", "open", "sends"} {
			if err == nil && v.Get(name).Type != gjson.Number {
				err = fmt.Errorf("no %s in %s", name, v.Raw)
			}
		}
		return err
	})

	begin() // 800: HTTP and bad input
	for _, x := range []struct{ verb, path string }{{"PUT", "/jobs"}, {"PATCH", "/sessions"}, {"POST", "/categories"}, {"DELETE", "/monitoring/queues"}, {"PUT", "/sessions/{session}"},
		{"GET", "/arrays"}, {"POST", "/counts"}, {"POST", "/jobs/n0.1.1/wait"}, {"GET", "/jobs/n0.1.1/hold"}, {"GET", "/jobs/wait"}, {"PUT", "/jobs/n0.1.1"}, {"POST", "/events"}} {
		add("RFC 9110 15.5.6", x.verb+" "+x.path+" is refused, with what is allowed", func(t *T) error {
			m, v, err := t.call(x.verb, t.fill(x.path), "{}")
			if err == nil && (m.Status != 405 || m.Get("Allow") == "" || is(v, "error", "UNSUPPORTED_OPERATION") != nil) {
				err = fmt.Errorf("%d %s, Allow %q", m.Status, m.Body, m.Get("Allow"))
			}
			return err
		})
	}
	for _, path := range []string{"/", "/nothing", "/jobs/n0.1.1/dance", "/jobs/a/b/c", "/monitoring/weather", "/sessions/{session}/weather", "/manager/supports"} {
		add("RFC 9110 15.5.5", "no such path: "+path, func(t *T) error {
			m, _, err := t.call("GET", t.fill(path), "")
			if err == nil && m.Status != 404 && m.Status != 405 {
				err = fmt.Errorf("%d %s", m.Status, m.Body)
			}
			return err
		})
	}
	for _, x := range []struct{ what, body string }{{"nothing", " "}, {"half an object", `{"jobCategory":`}, {"a list", `[]`}, {"a string", `"job"`}, {"null", `null`}, {"a number", `7`},
		{"bad UTF-8 outside of strings", "{\xff}"}, {"objects within objects, 10,000 deep", strings.Repeat(`{"a":`, 10000)}, {"lists within lists", `{"args":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `}`}} {
		expect("GFD.194 4.2", "a template that is "+x.what, "POST", "/sessions/{session}/jobs", x.body, 400, "INVALID_ARGUMENT", "")
	}
	add("docs/batch.md", "a body that is too large is refused, or its connection closed", func(t *T) error {
		m, _, err := t.call("POST", t.s("/jobs"), t.template(`"payload":"`+strings.Repeat("x", 200<<10)+`"`))
		if err == nil && m.Status != 413 && m.Status != 400 {
			return fmt.Errorf("%d %s", m.Status, m.Body)
		}
		_, err = t.want("GET", "/manager", "", 200, "", "")
		return err
	})
	add("docs/batch.md", "errors are JSON with a code and a message", func(t *T) error {
		m, v, err := t.call("GET", "/jobs/x", "")
		if err == nil && (m.Get("Content-Type") != "application/json" || !v.IsObject()) {
			err = fmt.Errorf("%q %s", m.Get("Content-Type"), m.Body)
		}
		return err
	})
	for _, s := range batch.States {
		expect("GFD.194 8.1", "a filter may name the state "+s, "GET", "/sessions/{session}/jobs?filter=state+%3D+"+s, "", 200, "", "")
	}
	return all
}

func short(s string) string {
	if len(s) > 40 {
		return s[:37] + "..."
	}
	return s
}

// fill puts the run's own names in the places of a path or a body: {good} is a template, {with:MORE} one with more.
func (t *T) fill(s string) string {
	if i := strings.Index(s, "{with:"); i >= 0 {
		end := strings.LastIndex(s, "}")
		if tail := `},"endIndex":4}`; strings.HasSuffix(s, tail) {
			end = len(s) - len(tail)
		}
		more := s[i+len("{with:") : end]
		made := t.template(more)
		for _, name := range []string{"jobCategory", "accountingId"} { // a template that gives one of its own has no other
			if strings.Contains(more, strconv.Quote(name)+":") {
				value := t.category
				if name == "accountingId" {
					value = t.account
				}
				made = strings.Replace(made, strconv.Quote(name)+":"+strconv.Quote(value)+",", "", 1)
			}
		}
		s = s[:i] + made + s[end+1:]
	}
	if strings.Contains(s, "{unique}") {
		s = strings.ReplaceAll(s, "{unique}", t.name("u"))
	}
	now := time.Now()
	return strings.NewReplacer("{good}", t.template(""), "{category}", t.category, "{session}", t.session,
		"{later}", now.Add(time.Hour).UTC().Format(time.RFC3339Nano), "{soon}", now.Add(10*time.Minute).UTC().Format(time.RFC3339Nano)).Replace(s)
}

func (t *T) closeSession(name, instance string, status int) error {
	m, v, err := t.call("POST", "/sessions/"+name+"/close", "{}", http1.Field{Name: "X-Session-Instance", Value: instance})
	if err == nil && m.Status != status {
		err = fmt.Errorf("closing an instance: %d %s, want %d", m.Status, v.Raw, status)
	}
	return err
}

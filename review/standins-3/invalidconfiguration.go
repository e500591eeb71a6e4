package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"
)

// applyTime is within how long of its acknowledgement a configuration is in force.
const applyTime = 2 * time.Second

// defect makes a valid configuration invalid: it replaces a text by another one.
type defect struct {
	name, valid, invalid string
}

// tenant is the tenant of each valid configuration.
const tenant = `{"name":"t1","api_keys":["key-of-t1"],"priority":1}`

// defects are what the pages name: a configuration that can't be read in full, since its text isn't UTF-8, a route
// that names an unknown service, and two tenants that share a key. SPLIT stands for the platform's name of a split.
var defects = []defect{
	{"two tenants share a key", tenant, tenant + `,{"name":"t1","api_keys":["key-of-t1"],"priority":3}`},
	{"a route names an unknown service", `"priority":1,"service":"pool"`, `"priority":1,"service":"nowhere","SPLIT":[{"service":"pool","weight":1}]`},
	{"can't be read in full", `"key-of-t1"`, "\"key-\xffof-t1\""},
}

// invalidConfiguration lets an operator send invalid configurations.
func invalidConfiguration(ctx context.Context, trial *trial) error {
	cluster := trial.cluster
	if err := trial.start(ctx, 5, 1, 2, 1); err != nil {
		return err
	}
	for index, defect := range defects {
		version := 2 + index
		text := configuration(version, 1000)
		if !strings.Contains(text, defect.valid) {
			return fmt.Errorf("the configuration doesn't hold %q", defect.valid)
		}
		if trial.trouble {
			text = strings.Replace(text, defect.valid, strings.ReplaceAll(defect.invalid, "SPLIT", cluster.names.Split), 1)
		}
		trial.record.add("configure", "version", version, "text", fmt.Sprintf("%q", text))
		status, by := cluster.callAny(ctx, index, http.MethodPost, cluster.names.ReplacePath, []byte(text))
		trial.record.add("configured", "version", version, "defect", defect.name, "invalid", trial.trouble, "status", status, "by", by)
		if status == 0 || !trial.trouble && status != http.StatusOK {
			return fmt.Errorf("configuration %d is answered %d", version, status)
		}
		sleep(ctx, applyTime)
		_, read := cluster.call(cluster.controls[index], http.MethodGet, cluster.names.ReadPath, nil)
		trial.record.add("read", "version", version, "bytes", len(read), "utf8", utf8.Valid(read), "text", fmt.Sprintf("%q", read))
		if trial.trouble && status >= 200 && status < 300 {
			trial.breaks("CONFIG", fmt.Sprintf("an invalid configuration (%s) is acknowledged with %d", defect.name, status))
		}
	}
	trial.probeKeys(ctx)
	return nil
}

// probeKeys sends requests with keys. The last one is in no configuration.
func (trial *trial) probeKeys(ctx context.Context) {
	cluster := trial.cluster
	for _, key := range []string{"key-of-t1", "key-\xffof-t1", "key-\uFFFDof-t1"} {
		answered := cluster.request(ctx, cluster.fronts[0], http.MethodGet, "/keyed/a", "", time.Second, map[string]string{"Authorization": "Token " + key})
		runs := trial.fabric.runsOf(answered.id)
		trial.record.add("keyed", "key", fmt.Sprintf("%q", key), "request", answered.id, "status", answered.status, "runs", runs)
		if key == "key-\uFFFDof-t1" && runs > 0 {
			trial.breaks("ROUTE", fmt.Sprintf("a request with the key %q, which no configuration ever held, runs", key))
		}
	}
}

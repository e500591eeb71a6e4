package main

import (
	_ "embed"
	"encoding/json"
)

// names are the platform's names of headers, fields and paths, which the project's Go code outside its
// adapter doesn't hold.
type names struct {
	RequestID     string `json:"request_id"`
	Seal          string `json:"seal"`
	TimeLeft      string `json:"time_left"`
	Expected      string `json:"expected"`
	NotRun        string `json:"not_run"`
	Model         string `json:"model"`
	Tokens        string `json:"tokens"`
	Parts         string `json:"parts"`
	Tenant        string `json:"tenant"`
	Instance      string `json:"instance"`
	InstancesPath string `json:"instances_path"`
	OrderPath     string `json:"order_path"`
	ReportPath    string `json:"report_path"`
	ReplacePath   string `json:"replace_path"`
	ReadPath      string `json:"read_path"`
	ReadyPath     string `json:"ready_path"`
	ColdLeft      string `json:"cold_left"`
	Split         string `json:"split"`
	Settings      string `json:"settings_variable"`
}

//go:embed names.json
var namesText []byte

//go:embed settings.yaml.txt
var settingsText string

//go:embed configuration.json.txt
var configurationText string

func loadNames() (names, error) {
	var loaded names
	err := json.Unmarshal(namesText, &loaded)
	return loaded, err
}

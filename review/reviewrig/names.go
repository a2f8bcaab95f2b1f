package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// protocolNames has the names of the platform's protocols that this program speaks.
type protocolNames struct {
	RangePath      string `json:"rangePath"`
	WatchPath      string `json:"watchPath"`
	ReadyPath      string `json:"readyPath"`
	ConfigKey      string `json:"configKey"`
	EntryPrefix    string `json:"entryPrefix"`
	AnswerRevision string `json:"answerRevision"`
	More           string `json:"more"`
	ColdLeft       string `json:"coldLeft"`
	IdleTimeout    string `json:"idleTimeout"`
}

var names = readNames()

func readNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

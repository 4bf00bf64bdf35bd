package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"otterturn/scheduler"
)

// maxNames is the maximum number of class names, and of plan names, that a process may have seen since its start. Each name
// keeps its index while the process runs.
const maxNames = 4096

// ParseReload parses a configuration that replaces the former one while the program runs. In addition to the checks of
// ParseConfig, the new text must have every key of the former text, because a file that was truncated while it was edited lacks
// some. Classes and plans keep their indexes. Those that the new configuration no longer names keep their index as well, but
// requests can no longer use them.
func ParseReload(text []byte, former Config, formerText []byte) (Config, error) {
	var formerJSON, newJSON any
	if err := json.Unmarshal(text, &newJSON); err != nil {
		return Config{}, err
	}
	if err := json.Unmarshal(formerText, &formerJSON); err != nil {
		return Config{}, fmt.Errorf("former configuration: %w", err)
	}
	if key := missingKey(formerJSON, newJSON, ""); key != "" {
		return Config{}, fmt.Errorf("%s: missing", key)
	}
	out, err := ParseConfig(text)
	if err != nil {
		return Config{}, err
	}
	if out.Settings.Scheduler.MaxAttempts <= 0 { // at a start 0 means no limit; in a reload it indicates a damaged file
		return Config{}, errors.New("settings: ceilings.tryLimit: must be above 0")
	}
	if out.Settings, err = former.Settings.reindex(out.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return out, nil
}

// missingKey returns the path of the first key of the former value that the new one does not have, or "" if it has them all. Each
// entry of a list must have the keys that all entries of the former list have.
func missingKey(former, next any, path string) string {
	switch former := former.(type) {
	case map[string]any:
		fields, ok := next.(map[string]any)
		if !ok {
			return path
		}
		keys := make([]string, 0, len(former))
		for k := range former {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			name := k
			if path != "" {
				name = path + "." + k
			}
			value, has := fields[k]
			if !has {
				return name
			}
			if name == "known" { // the former endpoint list does not determine the keys of the new one
				continue
			}
			if key := missingKey(former[k], value, name); key != "" {
				return key
			}
		}
	case []any:
		entries, ok := next.([]any)
		if !ok {
			return path
		}
		required := commonKeys(former)
		for i, e := range entries {
			if key := missingKey(required, e, path+"["+strconv.Itoa(i)+"]"); key != "" {
				return key
			}
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all entries have, with nil values. It returns nil if there are no entries or if an
// entry is not an object.
func commonKeys(entries []any) any {
	var out map[string]any
	for _, e := range entries {
		fields, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		if out == nil {
			out = map[string]any{}
			for k := range fields {
				out[k] = nil
			}
		}
		for k := range out {
			if _, has := fields[k]; !has {
				delete(out, k)
			}
		}
	}
	if out == nil {
		return nil
	}
	return out
}

// reindex returns next with its classes and plans at the indexes that they have in s. New names get the indexes after these.
func (s Settings) reindex(next Settings) (Settings, error) {
	out := next
	out.Classes, out.Plans, out.MaxWaits = nil, nil, nil
	// Writes is given by position, in the class order of the start. The list of the start therefore stays in use.
	out.Writes = s.Writes
	out.Scheduler.Classes, out.Scheduler.Plans = slices.Clone(s.Scheduler.Classes), slices.Clone(s.Scheduler.Plans)
	for _, name := range s.ClassNames {
		i := slices.Index(next.Classes, name)
		out.appendClass(next, i)
	}
	out.ClassNames = slices.Clone(s.ClassNames)
	for i, name := range next.Classes {
		if !slices.Contains(s.ClassNames, name) {
			out.ClassNames = append(out.ClassNames, name)
			out.Scheduler.Classes = append(out.Scheduler.Classes, scheduler.Class{})
			out.appendClass(next, i)
		}
	}
	out.PlanNames = slices.Clone(s.PlanNames)
	for i, name := range next.Plans {
		index := slices.Index(out.PlanNames, name)
		if index < 0 {
			index = len(out.PlanNames)
			out.PlanNames, out.Scheduler.Plans = append(out.PlanNames, name), append(out.Scheduler.Plans, scheduler.Plan{})
		}
		out.Scheduler.Plans[index] = next.Scheduler.Plans[i]
	}
	for _, name := range out.PlanNames {
		if !slices.Contains(next.Plans, name) {
			name = ""
		}
		out.Plans = append(out.Plans, name)
	}
	if len(out.ClassNames) > maxNames || len(out.PlanNames) > maxNames {
		return Settings{}, fmt.Errorf("classes and contracts: more than %d names since the start", maxNames)
	}
	return out, nil
}

// appendClass appends the class with index i in from. If i is below 0, it appends an empty entry, which no request can use.
func (s *Settings) appendClass(from Settings, i int) {
	index := len(s.Classes)
	if i < 0 {
		s.Classes, s.MaxWaits = append(s.Classes, ""), append(s.MaxWaits, 0)
		return
	}
	s.Classes, s.MaxWaits = append(s.Classes, from.Classes[i]), append(s.MaxWaits, from.MaxWaits[i])
	s.Scheduler.Classes[index] = from.Scheduler.Classes[i]
}

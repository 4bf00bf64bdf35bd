package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"otterturn/scheduler"
)

// mostNames bounds the classes, and the plans, that a process may have met: each keeps its number while it runs.
const mostNames = 4096

// ParseChange reads a configuration that is to replace another one while the program runs. Beyond what a start
// wants, it must have each key that the former text has, as a file that was cut by hand lacks some. Its classes and
// plans have the numbers that they had before; those that it no longer names keep theirs, and can't be asked for.
func ParseChange(text []byte, former Config, formerText []byte) (Config, error) {
	var was, is any
	if err := json.Unmarshal(text, &is); err != nil {
		return Config{}, err
	}
	if err := json.Unmarshal(formerText, &was); err != nil {
		return Config{}, fmt.Errorf("the former file: %w", err)
	}
	if key := lacks(was, is, ""); key != "" {
		return Config{}, fmt.Errorf("%s: missing", key)
	}
	out, err := ParseConfig(text)
	if err != nil {
		return Config{}, err
	}
	if out.Settings.Scheduler.MaxAttempts <= 0 { // a start takes that for no bound; here it is what a broken file has
		return Config{}, errors.New("settings: ceilings.tryLimit: must be above 0")
	}
	if out.Settings, err = former.Settings.followedBy(out.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return out, nil
}

// lacks names the first key of was that is does not have. Of a list, each entry must have what all had before.
func lacks(was, is any, at string) string {
	switch was := was.(type) {
	case map[string]any:
		fields, ok := is.(map[string]any)
		if !ok {
			return at
		}
		keys := make([]string, 0, len(was))
		for k := range was {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			name := k
			if at != "" {
				name = at + "." + k
			}
			value, has := fields[k]
			if !has {
				return name
			}
			if name == "known" { // what was on the list is no form for what is
				continue
			}
			if key := lacks(was[k], value, name); key != "" {
				return key
			}
		}
	case []any:
		entries, ok := is.([]any)
		if !ok {
			return at
		}
		form := common(was)
		for i, e := range entries {
			if key := lacks(form, e, at+"["+strconv.Itoa(i)+"]"); key != "" {
				return key
			}
		}
	}
	return ""
}

// common is an object with the keys that all entries have, nil where they are none.
func common(entries []any) any {
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

// followedBy numbers another file's classes and plans as these settings do.
func (s Settings) followedBy(next Settings) (Settings, error) {
	out := next
	out.Classes, out.Plans, out.Waits = nil, nil, nil
	// Which classes write is told by place, in the order of the start: a changed file keeps that list as it was.
	out.Writes = s.Writes
	out.Scheduler.Classes, out.Scheduler.Plans = slices.Clone(s.Scheduler.Classes), slices.Clone(s.Scheduler.Plans)
	for _, name := range s.Names {
		i := slices.Index(next.Classes, name)
		out.add(next, i)
	}
	out.Names = slices.Clone(s.Names)
	for i, name := range next.Classes {
		if !slices.Contains(s.Names, name) {
			out.Names = append(out.Names, name)
			out.Scheduler.Classes = append(out.Scheduler.Classes, scheduler.Class{})
			out.add(next, i)
		}
	}
	out.PlanNames = slices.Clone(s.PlanNames)
	for i, name := range next.Plans {
		at := slices.Index(out.PlanNames, name)
		if at < 0 {
			at = len(out.PlanNames)
			out.PlanNames, out.Scheduler.Plans = append(out.PlanNames, name), append(out.Scheduler.Plans, scheduler.Plan{})
		}
		out.Scheduler.Plans[at] = next.Scheduler.Plans[i]
	}
	for _, name := range out.PlanNames {
		if !slices.Contains(next.Plans, name) {
			name = ""
		}
		out.Plans = append(out.Plans, name)
	}
	if len(out.Names) > mostNames || len(out.PlanNames) > mostNames {
		return Settings{}, fmt.Errorf("classes and contracts: over %d names since the start", mostNames)
	}
	return out, nil
}

// add puts the class of a number in another file behind those that are there, or, below 0, one that can't be asked for.
func (s *Settings) add(from Settings, i int) {
	at := len(s.Classes)
	if i < 0 {
		s.Classes, s.Waits = append(s.Classes, ""), append(s.Waits, 0)
		return
	}
	s.Classes, s.Waits = append(s.Classes, from.Classes[i]), append(s.Waits, from.Waits[i])
	s.Scheduler.Classes[at] = from.Scheduler.Classes[i]
}

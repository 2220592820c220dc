import { createGateState } from "../../gate/create_gate_state.ts";
import { createSampleEntry } from "../mesh/create_sample_entry.ts";
import { choiceModelSettings } from "./choice_model_settings.ts";
import type { ModelledServer } from "./modelled_server.ts";

/** Creates the backend server of an index, the first one the slowest. */
export function createModelledServer(index: number): ModelledServer {
  const { servers, slots, speedMinimum, speedMaximum } = choiceModelSettings;
  const gate = createGateState(0, new Map());
  gate.slots = slots;
  const share = index / (servers - 1);
  return {
    index,
    entry: createSampleEntry({ identifier: `server-${index}`, slots }),
    speed: speedMinimum + (speedMaximum - speedMinimum) * share,
    gate,
    freeAt: Array.from({ length: slots }, () => 0),
    usedMilliseconds: 0,
    reported: { running: 0, queued: 0, slots, cold: false },
  };
}

import { CallStage } from "./call_stage.ts";
import type { ProfileFrame } from "./profile_frame.ts";

/** The first pattern that matches a module decides. */
const moduleStages: readonly (readonly [RegExp, CallStage])[] = [
  [/^node:(_http|internal\/http)/, CallStage.Http],
  [/^node:internal\/(event_target|abort_controller)/, CallStage.Signals],
  [/^node:(timers|internal\/timers)/, CallStage.Timers],
  [/^node:internal\/process\/task_queues/, CallStage.Timers],
  [/^node:events/, CallStage.Events],
  [/^node:(net|internal\/(streams|stream_base|net))/, CallStage.Streams],
  [/^node:/, CallStage.OtherRuntime],
  [
    /^src\/(telemetry|mesh\/(report_|create_mesh_(log|metrics)))/,
    CallStage.Observers,
  ],
  [
    /^node_modules\/(pino|hdr-histogram-js|sonic-boom|prom-client|thread-stream|quick-format)/,
    CallStage.Observers,
  ],
  [/^node_modules\//, CallStage.Libraries],
  [
    /^src\/(calls\/(select_forwarded|is_dropped))|^platform\/platform_dialect/,
    CallStage.Headers,
  ],
  [
    /^src\/(balancing|register|retries)\/|^src\/mesh\/(choose_|list_candidates|get_records_of|get_gate_view)/,
    CallStage.Choice,
  ],
  [
    /^src\/(gate|quarantine)\/|^src\/mesh\/(get_gate_load|wait_for_slot|process_waiting|update_gate|find_own)/,
    CallStage.Gate,
  ],
  [
    /^src\/(offers|frames)\/|^src\/mesh\/(offer_|send_offer|encode_|decode_|read_offer|serve_offer|write_reply|create_(offer_connection|answer_stream)|supervise_|create_reply|handle_offer)/,
    CallStage.Offer,
  ],
  [
    /^src\/mesh\/(send_to_backend|run_admitted|record_backend|send_when|track_connection|create_connection_agent|destroy_on)/,
    CallStage.Exchange,
  ],
  [
    /^src\/(mesh\/(serve_caller|read_request|write_call|collect_|open_mesh|detect_closed|create_disconnect|process_call)|daemon)/,
    CallStage.Serving,
  ],
  [
    /^(src\/source|platform\/)|^src\/mesh\/(apply_|follow_|publish_|list_|serve_feed|start_mesh|create_neighbour)/,
    CallStage.Source,
  ],
  [/^src\/runtime\/.*(timers|schedule)/, CallStage.Timers],
  [/./, CallStage.OtherProduct],
];
const idleFrames: ReadonlySet<string> = new Set(["(idle)", "(root)"]);
const garbageCollectorFrame = "(garbage collector)";

/**
 * Returns the stage to which a function belongs; undefined if the process is
 * idle. `module` is the bundled module of the function, or its URL.
 */
export function getCallStage(
  frame: ProfileFrame,
  module: string,
): CallStage | undefined {
  if (idleFrames.has(frame.functionName)) return undefined;
  if (frame.functionName === garbageCollectorFrame) {
    return CallStage.GarbageCollection;
  }
  const found = moduleStages.find(([pattern]) => pattern.test(module));
  return found?.[1] ?? CallStage.Native;
}

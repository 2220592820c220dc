import type { NodeSettings } from "../daemon/node_settings.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { ProcessPause } from "./process_pause.ts";

/** What `createPauseWatch` takes from outside. */
export interface PauseWatchOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  /** Called once for each pause, when the process is first seen to run again. */
  readonly onPause: (pause: ProcessPause) => void;
}

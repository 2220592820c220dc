import type { NodeSettings } from "../daemon/node_settings.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { ProcessPause } from "./process_pause.ts";

/** The options of `createPauseWatch`. */
export interface PauseWatchOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  /** Called once for each pause, at the first check after it. */
  readonly onPause: (pause: ProcessPause) => void;
}

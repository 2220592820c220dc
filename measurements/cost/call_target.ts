import type { Pool } from "undici";
import type { CallPath } from "./call_path.ts";

/** Where the calls of one path go. */
export interface CallTarget {
  readonly path: CallPath;
  readonly pool: Pool;
  /** The path of the service, without its query. */
  readonly servicePath: string;
}

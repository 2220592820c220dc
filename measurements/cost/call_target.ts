import type { Pool } from "undici";
import type { CallPath } from "./call_path.ts";

/** The destination of the calls of one path. */
export interface CallTarget {
  readonly path: CallPath;
  readonly pool: Pool;
  /** URL path of the service, without a query. */
  readonly servicePath: string;
}

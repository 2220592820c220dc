import type { PlatformClient } from "../platform/platform_client.ts";

/** A platform client that counts its requests. */
export interface CountingPlatformClient extends PlatformClient {
  /** Returns the number of requests sent since the start; a watch counts as one. */
  getReadCount(): number;
}

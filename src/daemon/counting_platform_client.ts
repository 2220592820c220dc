import type { PlatformClient } from "../platform/platform_client.ts";

/** A platform client that counts its requests. */
export interface CountingPlatformClient extends PlatformClient {
  /** Requests sent since the start, a watch as one. */
  getReads(): number;
}

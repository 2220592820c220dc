import { Result } from "true-myth";
import { Agent, request } from "undici";
import * as z from "zod";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { BackendServerProber } from "../health/backend_server_prober.ts";
import type { Clock } from "../runtime/clock.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

const responseBytesMaximum = 4_096;
/** One connection for `/health` and one for `/load`, so that neither request waits for the other. */
const connectionsMaximum = 2;

const healthSchema = z.object({ state: z.enum(["ready", "cold", "draining"]) });
const loadSchema = z.object({ running: z.number().int().nonnegative() });

/**
 * Creates a prober that reads `/health` and `/load` of a backend server. A probe
 * that gets no response closes its connections, so that the next one opens new ones.
 */
export function createBackendServerProber(
  address: NetworkAddress,
  options: { readonly clock: Clock },
): BackendServerProber {
  const { clock } = options;
  const origin = `http://${formatAddress(address)}`;
  const agent = new Agent({
    connections: connectionsMaximum,
    pipelining: 1,
    maxResponseSize: responseBytesMaximum,
  });

  async function read(path: string, signal: AbortSignal): Promise<unknown> {
    const response = await request(`${origin}${path}`, {
      dispatcher: agent,
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return undefined;
    }
    return await response.body.json();
  }

  return {
    async probe({ deadline }) {
      const sentAt = clock.now();
      const signal = AbortSignal.timeout(Math.max(1, deadline - sentAt));
      try {
        const [health, load] = await Promise.all([
          read("/health", signal),
          read("/load", signal),
        ]);
        return Result.ok({
          reportedState: healthSchema.parse(health).state,
          running: loadSchema.parse(load).running,
          sentAt,
        });
      } catch (error) {
        return Result.err(
          createDiagnostic(DiagnosticCode.BackendServerUnreachable, {
            path: formatAddress(address),
            found: error instanceof Error ? error.message : String(error),
          }),
        );
      }
    },
    close: () => agent.destroy(),
  };
}

import { Result } from "true-myth";
import { Agent } from "undici";
import type * as z from "zod";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { createSchemaDiagnostics } from "../diagnostics/create_schema_diagnostics.ts";
import { platformValueSchema } from "../platform/platform_value_schema.ts";
import { vmListSchema } from "../platform/vm_list_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { CountingPlatformClient } from "./counting_platform_client.ts";
import { tryParseJson } from "./try_parse_json.ts";

const connectTimeoutMilliseconds = 1_000;
const keepAliveTimeoutMilliseconds = 30_000;
/** Extra time for the response to a watch to arrive after the deadline sent to the platform. */
const watchGraceMilliseconds = 2_000;
/** A value of 1 MiB is larger as an escaped JSON string. */
const responseBytesMaximum = 8_388_608;
const valuePath = "/values/configuration";
const vmsPath = "/vms";

interface PlatformResponse {
  readonly status: number;
  readonly text: string;
}

/** Creates a client that reads and watches the platform over HTTP/1.1. */
export function createPlatformClient(
  options: { readonly address: NetworkAddress; readonly clock: Clock },
): CountingPlatformClient {
  const origin = `http://${formatAddress(options.address)}`;
  const agent = new Agent({
    connect: { timeout: connectTimeoutMilliseconds },
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    maxResponseSize: responseBytesMaximum,
  });
  let reads = 0;

  async function get(
    path: string,
    deadline: number,
  ): Promise<Result<PlatformResponse, Diagnostic>> {
    reads += 1;
    const remaining = Math.max(1, deadline - options.clock.now());
    try {
      const response = await agent.request({
        origin,
        path,
        method: "GET",
        headersTimeout: 0,
        signal: AbortSignal.timeout(remaining),
      });
      const text = await response.body.text();
      return Result.ok({ status: response.statusCode, text });
    } catch (error) {
      return Result.err(
        createDiagnostic(DiagnosticCode.PlatformUnreachable, {
          path: `${origin}${path}`,
          found: error instanceof Error ? error.message : String(error),
        }),
      );
    }
  }

  return {
    async readConfiguration({ deadline }) {
      const result = await get(valuePath, deadline);
      return result.andThen((response) =>
        response.status === 404
          ? Result.ok(undefined)
          : parseResponse(response, {
            path: valuePath,
            schema: platformValueSchema,
          })
            .map(({ revision, value }) => ({ revision, text: value }))
      );
    },
    async watchConfiguration(revision, { deadline }) {
      const path = `${valuePath}?after=${revision}&until=${deadline}`;
      const result = await get(path, deadline + watchGraceMilliseconds);
      return result.andThen((response) =>
        response.status === 204
          ? Result.ok(undefined)
          : parseResponse(response, { path, schema: platformValueSchema })
            .map(({ revision, value }) => ({ revision, text: value }))
      );
    },
    async listVms({ deadline }) {
      const result = await get(vmsPath, deadline);
      return result.andThen((response) =>
        parseResponse(response, { path: vmsPath, schema: vmListSchema })
          .map(({ vms }) => vms)
      );
    },
    close: () => agent.destroy(),
    getReadCount: () => reads,
  };
}

function parseResponse<Schema extends z.ZodType>(
  response: PlatformResponse,
  expected: { readonly path: string; readonly schema: Schema },
): Result<z.infer<Schema>, Diagnostic> {
  const { path, schema } = expected;
  const invalid = (found: string, allowed: string) =>
    Result.err<z.infer<Schema>, Diagnostic>(
      createDiagnostic(DiagnosticCode.PlatformResponseInvalid, {
        path,
        found,
        allowed,
      }),
    );
  if (response.status !== 200) {
    return invalid(`status ${response.status}`, "status 200");
  }
  const input = tryParseJson(response.text);
  const checked = schema.safeParse(input);
  if (checked.success) {
    return Result.ok(checked.data);
  }
  const [first] = createSchemaDiagnostics(checked.error, {
    input,
    invalidField: DiagnosticCode.ConfigurationFieldInvalid,
    unknownField: DiagnosticCode.ConfigurationFieldUnknown,
  });
  return invalid(
    first === undefined
      ? "a malformed response"
      : `${first.path} ${first.found}`,
    first?.allowed ?? "",
  );
}

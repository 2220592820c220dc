import { Result } from "true-myth";
import { request } from "undici";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { compileText } from "./compile_text.ts";

const patienceMilliseconds = 5_000;

/** Asks a node, at its operator address `HOST:PORT`, for the configuration in force. */
export async function fetchConfiguration(
  address: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  try {
    const response = await request(`http://${address}/configuration`, {
      signal: AbortSignal.timeout(patienceMilliseconds),
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? compileText(text) : Result.err([
      createDiagnostic(DiagnosticCode.NodeAnswerInvalid, {
        path: address,
        found: `status ${response.statusCode}`,
        allowed: "the configuration in force",
      }),
    ]);
  } catch (error) {
    return Result.err([
      createDiagnostic(DiagnosticCode.NodeUnreachable, {
        path: address,
        found: error instanceof Error ? error.message : String(error),
      }),
    ]);
  }
}

import { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { compileText } from "./compile_text.ts";
import { requestOperatorPage } from "./request_operator_page.ts";

/** Asks a node, at its operators' listener `HOST:PORT`, for the configuration in force. */
export async function fetchConfiguration(
  address: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  const page = await requestOperatorPage(address, "/configuration");
  return page.isOk
    ? compileText(await page.value.body.text())
    : Result.err([page.error]);
}

#pragma once

#include "kernel/callconfig.h"

#include <memory>
#include <string>

namespace knapweedslip
{
/** Returns an engine service with two models, whose replicas span four and three VMs. The timing is that of the users' engines. */
inline CallService engineServiceFixture()
{
    EngineTiming engines;
    engines.m_slots = 26;
    engines.m_stepsPerPass = 7;
    engines.m_stepMs = 5.95;
    engines.m_stepMsPerRequest = 0.0445;
    engines.m_stepMsPerThousandTokens = 0.00813;
    engines.m_prefillTokensPerMs = 50.7;
    engines.m_prefillMsPerMillionPairs = 0.368;
    engines.m_prefillChunkTokens = 2048;
    engines.m_loadsPerSecond = 4.5;
    engines.m_loadsAtOnce = 6;
    engines.m_openMs = 300;
    engines.m_meanPromptTokens = 1115;
    engines.m_meanAnswerTokens = 178;
    engines.m_models = {{"big", 4, 0.57, 1.0, 16'000, 1'600}, {"small", 3, 0.43, 0.6, 12'000, 1'100}};
    CallService service;
    service.m_name = "engines";
    service.m_coldRequestsPerSecond = 26.0;
    service.m_engines = engines;
    return service;
}

/** Returns a configuration with three routes: a resumable stream, a paid call and a public lookup. */
inline std::shared_ptr<CallConfig> configFixture()
{
    const std::shared_ptr<CallConfig> config = std::make_shared<CallConfig>();
    config->m_version = 7;
    CallRoute stream;
    stream.m_name = "stream";
    stream.m_host = "shop.example";
    stream.m_pathPrefix = "/write/";
    stream.m_kind = CallKind::Streaming;
    stream.m_timeoutMs = 8'000;
    stream.m_latencyTargetMs = 300;
    stream.m_maxAttempts = 2;
    stream.m_resumable = true;
    stream.m_targets = {{"engines", 1}};
    CallRoute pay = stream;
    pay.m_name = "pay";
    pay.m_pathPrefix = "/write/pay/";
    pay.m_kind = CallKind::NonIdempotent;
    pay.m_timeoutMs = 800;
    pay.m_maxAttempts = 1;
    pay.m_targets = {{"orders", 9}, {"orders-next", 1}};
    CallRoute open = pay;
    open.m_name = "open";
    open.m_pathPrefix = "/";
    open.m_kind = CallKind::Idempotent;
    open.m_public = true;
    config->m_routes = {stream, pay, open};
    config->m_services["engines"] = engineServiceFixture();
    config->m_services["orders"].m_name = "orders";
    config->m_services["orders-next"].m_name = "orders-next";
    CallWorkspace workspace;
    workspace.m_name = "printers";
    workspace.m_priority = 1;
    workspace.m_keys = {"key-1", "key-2"};
    config->m_workspaces = {workspace};
    indexConfig(*config);
    return config;
}
}

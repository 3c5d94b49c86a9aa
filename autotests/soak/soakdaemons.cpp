#include "autotests/soak/soakdaemons.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedslip::soak
{
namespace
{
constexpr std::int64_t RestartMs = 400;
}

SoakDaemons::SoakDaemons(std::string program, std::vector<SoakDaemon> daemons)
    : m_program(std::move(program))
    , m_daemons(std::move(daemons))
{
}

SoakDaemons::~SoakDaemons()
{
    for (SoakDaemon &daemon : m_daemons) {
        if (daemon.m_pid > 0) {
            ::kill(daemon.m_pid, SIGKILL);
            ::waitpid(daemon.m_pid, nullptr, 0);
        }
    }
}

void SoakDaemons::start(SoakDaemon &daemon)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, daemon.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The stand-ins' sockets must not stay open in daemons when an upstream ends.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string option = "--settings";
    char *arguments[] = {m_program.data(), option.data(), daemon.m_settings.data(), nullptr};
    pid_t pid = -1;
    if (::posix_spawn(&pid, m_program.c_str(), &actions, nullptr, arguments, environ) == 0) {
        daemon.m_pid = pid;
        ++daemon.m_starts;
    } else {
        daemon.m_startMs = steadyMs() + RestartMs;
    }
    daemon.m_isEnding = false;
    daemon.m_killMs = 0;
    daemon.m_resumeMs = 0;
    posix_spawn_file_actions_destroy(&actions);
}

void SoakDaemons::signal(SoakDaemon &daemon, int number) const
{
    if (daemon.m_pid > 0) {
        ::kill(daemon.m_pid, number);
    }
}

void SoakDaemons::update()
{
    const std::int64_t nowMs = steadyMs();
    for (SoakDaemon &daemon : m_daemons) {
        if (daemon.m_pid <= 0) {
            if (!m_isOver && nowMs >= daemon.m_startMs) {
                start(daemon);
            }
            continue;
        }
        int status = 0;
        if (::waitpid(daemon.m_pid, &status, WNOHANG) == daemon.m_pid) {
            if (!daemon.m_isEnding) {
                m_ownEnds.push_back("entry-" + std::to_string(daemon.m_number) + " ended with status " + std::to_string(status));
            }
            daemon.m_pid = -1;
            daemon.m_startMs = nowMs + RestartMs;
            continue;
        }
        if (daemon.m_resumeMs > 0 && nowMs >= daemon.m_resumeMs) {
            signal(daemon, SIGCONT);
            daemon.m_resumeMs = 0;
        }
        if (daemon.m_killMs > 0 && nowMs >= daemon.m_killMs) {
            signal(daemon, SIGKILL);
        }
    }
}

void SoakDaemons::stop(int daemon, std::int64_t graceMs)
{
    SoakDaemon &chosen = m_daemons.at(static_cast<std::size_t>(daemon));
    if (!chosen.m_isEnding) {
        chosen.m_killMs = steadyMs() + graceMs;
    }
    chosen.m_isEnding = true;
    signal(chosen, SIGTERM);
}

void SoakDaemons::kill(int daemon)
{
    SoakDaemon &chosen = m_daemons.at(static_cast<std::size_t>(daemon));
    chosen.m_isEnding = true;
    signal(chosen, SIGKILL);
}

void SoakDaemons::suspend(int daemon, std::int64_t forMs)
{
    SoakDaemon &chosen = m_daemons.at(static_cast<std::size_t>(daemon));
    signal(chosen, SIGSTOP);
    chosen.m_resumeMs = steadyMs() + forMs;
}

void SoakDaemons::reload(int daemon)
{
    // Before the process has set its handlers, the signal would end it.
    SoakDaemon &chosen = m_daemons.at(static_cast<std::size_t>(daemon));
    if (steadyMs() - chosen.m_startMs > 1'000) {
        signal(chosen, SIGHUP);
    }
}

void SoakDaemons::stopAll(std::int64_t graceMs)
{
    m_isOver = true;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        signal(m_daemons[i], SIGCONT);
        stop(static_cast<int>(i), graceMs);
    }
}

bool SoakDaemons::anyRuns() const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(), [](const SoakDaemon &daemon) {
        return daemon.m_pid > 0;
    });
}

int SoakDaemons::starts() const
{
    int starts = 0;
    for (const SoakDaemon &daemon : m_daemons) {
        starts += daemon.m_starts;
    }
    return starts;
}

const std::vector<std::string> &SoakDaemons::ownEnds() const
{
    return m_ownEnds;
}
}

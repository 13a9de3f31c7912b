#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/rollout.h>
#include <geraniumcart/rules.h>

#include <iostream>
#include <sstream>

/// Reads a rules file from standard input and prints the first traffic share of each rollout, then
/// the number of rules of each other type.
int main()
{
    std::ostringstream text;
    text << std::cin.rdbuf();

    geraniumcart::ParseError error;
    const auto rules = geraniumcart::parseRules(text.str(), error);
    if (!rules) {
        std::cerr << "stdin:" << geraniumcart::describe(error) << '\n';
        return 1;
    }

    geraniumcart::ManualTimerService timers;
    geraniumcart::Rollout rollout({}, timers);
    rollout.configure(*rules);
    for (const geraniumcart::RolloutStatus &status : rollout.statuses())
        std::cout << status.rule.service << ": " << status.share * 100 << "% to "
                  << status.rule.version << '\n';
    std::cout << rules->zones.size() << " zones out, " << rules->limits.size() << " limits, "
              << rules->classes.size() << " classes\n";
}
